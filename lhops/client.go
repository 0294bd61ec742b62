package lhops

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// NewClient returns the Service of the process whose operators' address is base,
// an HTTP URL without a path.
func NewClient(base string, client *http.Client) (Service, error) {
	u, err := url.Parse(base)
	if err != nil || u.Host == "" {
		return nil, lhcode.Newf(lhcode.Usage, "address %q is not of the form http://10.0.1.11:7002", base)
	}
	endpointOf := func(path string, encode kithttp.EncodeRequestFunc, decode kithttp.DecodeResponseFunc) *kithttp.Client {
		return kithttp.NewClient(http.MethodGet, u.JoinPath(path), encode, decode, kithttp.SetClient(client))
	}
	return peerService{Endpoints{
		DumpEndpoint:   endpointOf("dump", encodeDumpRequest, decodeResponse[Dump]).Endpoint(),
		StatusEndpoint: endpointOf("status", encodeEmptyRequest, decodeResponse[Status]).Endpoint(),
		HealthEndpoint: endpointOf("health", encodeEmptyRequest, decodeHealth).Endpoint(),
	}}, nil
}

// peerService gives errors of the network a result code.
type peerService struct{ endpoints Endpoints }

func (s peerService) Dump(ctx context.Context, service string) (Dump, error) {
	d, err := s.endpoints.Dump(ctx, service)
	return d, unreachable(err)
}

func (s peerService) Status(ctx context.Context) (Status, error) {
	st, err := s.endpoints.Status(ctx)
	return st, unreachable(err)
}

func (s peerService) Health(ctx context.Context) (Health, error) {
	h, err := s.endpoints.Health(ctx)
	return h, unreachable(err)
}

// unreachable returns err with a code of its own where it has none.
func unreachable(err error) error {
	if err == nil || lhcode.Of(err) != lhcode.Internal {
		return err
	}
	return lhcode.Wrap(lhcode.Unreachable, err, "ask the entry process")
}

func encodeDumpRequest(_ context.Context, r *http.Request, request any) error {
	if service := request.(dumpRequest).Service; service != "" {
		r.URL.RawQuery = url.Values{"service": {service}}.Encode()
	}
	return nil
}

func encodeEmptyRequest(context.Context, *http.Request, any) error { return nil }

// decodeResponse reads a value of type T, or the error sent in its place.
func decodeResponse[T any](_ context.Context, r *http.Response) (any, error) {
	if r.StatusCode != http.StatusOK {
		return nil, decodeFault(r)
	}
	return decodeJSON[T](r)
}

// decodeHealth reads a Health, which comes with either of two statuses.
func decodeHealth(_ context.Context, r *http.Response) (any, error) {
	if r.StatusCode != http.StatusOK && r.StatusCode != http.StatusServiceUnavailable {
		return nil, decodeFault(r)
	}
	return decodeJSON[Health](r)
}

func decodeJSON[T any](r *http.Response) (any, error) {
	var value T
	if err := json.NewDecoder(r.Body).Decode(&value); err != nil {
		return nil, lhcode.Wrap(lhcode.Unreachable, err, "read the answer of the entry process")
	}
	return value, nil
}

func decodeFault(r *http.Response) error {
	var f fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		return lhcode.Newf(lhcode.Unreachable, "the entry process answered %s", r.Status)
	}
	return lhcode.New(f.Code, f.Text)
}
