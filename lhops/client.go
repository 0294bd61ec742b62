package lhops

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// NewClient returns a Service that calls the operations API of a process. The base
// address is an HTTP URL without a path.
func NewClient(base string, client *http.Client) (Service, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, lhcode.Newf(lhcode.Usage, "address %q is not of the form http://10.0.1.11:7002", base)
	}
	newEndpoint := func(path string, encode kithttp.EncodeRequestFunc, decode kithttp.DecodeResponseFunc) *kithttp.Client {
		return kithttp.NewClient(http.MethodGet, u.JoinPath(path), encode, decode, kithttp.SetClient(client))
	}
	return remoteService{Endpoints{
		DumpEndpoint:   newEndpoint("dump", encodeDumpRequest, decodeResponse[Dump]).Endpoint(),
		StatusEndpoint: newEndpoint("status", encodeEmptyRequest, decodeResponse[Status]).Endpoint(),
		HealthEndpoint: newEndpoint("health", encodeEmptyRequest, decodeHealth).Endpoint(),
	}}, nil
}

// remoteService calls a remote process and adds a result code to network errors.
type remoteService struct{ endpoints Endpoints }

func (s remoteService) Dump(ctx context.Context, service string) (Dump, error) {
	d, err := s.endpoints.Dump(ctx, service)
	return d, wrapUnreachable(err)
}

func (s remoteService) Status(ctx context.Context) (Status, error) {
	st, err := s.endpoints.Status(ctx)
	return st, wrapUnreachable(err)
}

func (s remoteService) Health(ctx context.Context) (Health, error) {
	h, err := s.endpoints.Health(ctx)
	return h, wrapUnreachable(err)
}

// wrapUnreachable adds the code Unreachable to an error that has no code of its own.
func wrapUnreachable(err error) error {
	if err == nil || lhcode.Of(err) != lhcode.Internal {
		return err
	}
	return lhcode.Wrap(lhcode.Unreachable, err, "query the entry process")
}

func encodeDumpRequest(_ context.Context, r *http.Request, request any) error {
	if service := request.(dumpRequest).Service; service != "" {
		r.URL.RawQuery = url.Values{"service": {service}}.Encode()
	}
	return nil
}

func encodeEmptyRequest(context.Context, *http.Request, any) error { return nil }

// decodeResponse decodes a value of type T, or the error of a failed request.
func decodeResponse[T any](_ context.Context, r *http.Response) (any, error) {
	if r.StatusCode != http.StatusOK {
		return nil, decodeError(r)
	}
	return decodeJSON[T](r)
}

// decodeHealth decodes a Health, which is sent with status 200 or 503.
func decodeHealth(_ context.Context, r *http.Response) (any, error) {
	if r.StatusCode != http.StatusOK && r.StatusCode != http.StatusServiceUnavailable {
		return nil, decodeError(r)
	}
	return decodeJSON[Health](r)
}

func decodeJSON[T any](r *http.Response) (any, error) {
	var value T
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		return nil, lhcode.Wrap(lhcode.Unreachable, err, "decode the response of the entry process")
	}
	return value, nil
}

func decodeError(r *http.Response) error {
	var body errorBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return lhcode.Newf(lhcode.Unreachable, "the entry process responded with status %s", r.Status)
	}
	return lhcode.New(body.Code, body.Text)
}
