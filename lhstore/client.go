package lhstore

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// MaxValue is the size of the largest value that the store takes, in bytes.
	MaxValue = 1 << 20
	// CallTimeout bounds a call that doesn't wait for a change.
	CallTimeout = 2 * time.Second
	// WatchSlack is added to the wait of a watch to bound the whole call.
	WatchSlack = 2 * time.Second
	// listLimit is the number of keys that one call lists.
	listLimit = 1000
)

// Value is what a key holds, and the tag of that very write.
type Value struct {
	Data []byte
	ETag string
}

// Entry is a key of a listing and the tag of its value.
type Entry struct {
	Key  string `json:"key"`
	ETag string `json:"etag"`
}

// Client calls the platform's service over HTTP. It retries nothing: whether a
// call may be repeated is for its caller to know.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the service at base, an HTTP URL without a path.
// A nil transport is http.DefaultTransport.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Get returns the value of a key, or an error with lhcode.NotFound.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return c.read(ctx, key, "", "")
}

// Watch waits until the key holds a value with a tag other than etag, and
// returns it. When wait has passed without one it returns a Value with that etag
// and no data. An empty etag stands for a key that does not exist.
func (c *Client) Watch(ctx context.Context, key, etag string, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+WatchSlack)
	defer cancel()
	return c.read(ctx, key, "?wait="+wait.String(), etag)
}

func (c *Client) read(ctx context.Context, key, query, etag string) (Value, error) {
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	answer, err := c.call(ctx, http.MethodGet, keyPath(key)+query, header, nil)
	if err != nil {
		return Value{}, err
	}
	if answer.status == http.StatusNotModified {
		return Value{ETag: etag}, nil
	}
	return Value{Data: answer.body, ETag: answer.etag}, answer.fault("read " + key)
}

// Put writes a key whatever it holds, and returns the tag of the write.
func (c *Client) Put(ctx context.Context, key string, data []byte) (string, error) {
	return c.write(ctx, http.MethodPut, key, http.Header{}, data)
}

// Swap writes a key only if its value still has the given tag; an empty etag
// means only if the key does not exist. Otherwise the error has
// lhcode.PreconditionFailed. An error with lhcode.OutcomeUnknown leaves open
// whether the write took effect, or still will.
func (c *Client) Swap(ctx context.Context, key, etag string, data []byte) (string, error) {
	return c.write(ctx, http.MethodPut, key, condition(etag), data)
}

// Delete removes a key only if its value still has the given tag.
func (c *Client) Delete(ctx context.Context, key, etag string) error {
	_, err := c.write(ctx, http.MethodDelete, key, condition(etag), nil)
	return err
}

func (c *Client) write(ctx context.Context, method, key string, header http.Header, data []byte) (string, error) {
	if len(data) > MaxValue {
		return "", lhcode.Newf(lhcode.SettingRange, "value of %s has %d bytes; the store takes %d", key, len(data), MaxValue)
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := c.call(ctx, method, keyPath(key), header, data)
	if err != nil {
		return "", lhcode.Wrap(lhcode.OutcomeUnknown, err, "write "+key)
	}
	if answer.status >= http.StatusInternalServerError {
		return "", lhcode.Newf(lhcode.OutcomeUnknown, "write %s: status %d", key, answer.status)
	}
	return answer.etag, answer.fault("write " + key)
}

// List returns the keys that begin with prefix, in order.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var all []Entry
	for after := ""; ; {
		var some []Entry
		query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(listLimit)}}
		if err := c.document(ctx, "/keys?"+query.Encode(), &some); err != nil {
			return nil, err
		}
		all = append(all, some...)
		if len(some) < listLimit {
			return all, nil
		}
		after = some[len(some)-1].Key
	}
}

// VMs returns the platform's list of VMs, which lags behind.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.document(ctx, "/vms", &vms)
	return vms, err
}

func (c *Client) document(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := c.call(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if err := answer.fault("read " + path); err != nil {
		return err
	}
	return lhcode.Wrap(lhcode.StoreUnavailable, json.Unmarshal(answer.body, into), "decode "+path)
}

// Grant asks for the lease of a name, or prolongs it for its present holder, and
// returns its fencing number. It grows whenever the lease is given anew. The
// error has lhcode.LeaseLost while another holds the lease.
func (c *Client) Grant(ctx context.Context, name, holder string, life time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := c.call(ctx, http.MethodPut, leasePath(name, holder)+"&ttl="+life.String(), nil, nil)
	if err != nil {
		return 0, err
	}
	if answer.status == http.StatusConflict {
		return 0, lhcode.Newf(lhcode.LeaseLost, "another holds the lease of %s", name)
	}
	if err := answer.fault("lease " + name); err != nil {
		return 0, err
	}
	fence, err := strconv.ParseUint(string(answer.body), 10, 64)
	return fence, lhcode.Wrap(lhcode.StoreUnavailable, err, "decode lease "+name)
}

// Yield gives up a lease before its time.
func (c *Client) Yield(ctx context.Context, name, holder string) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	answer, err := c.call(ctx, http.MethodDelete, leasePath(name, holder), nil, nil)
	if err != nil {
		return err
	}
	return answer.fault("yield lease " + name)
}

// answer is a response that was read whole.
type answer struct {
	status int
	etag   string
	body   []byte
}

func (c *Client) call(ctx context.Context, method, path string, header http.Header, data []byte) (answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return answer{}, lhcode.Wrap(lhcode.Internal, err, "make request")
	}
	// Without GetBody the transport never repeats a request by itself.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	response, err := c.http.Do(request)
	if err != nil {
		return answer{}, lhcode.Wrap(lhcode.StoreUnavailable, err, "call the store")
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, 2*MaxValue))
	if err != nil {
		return answer{}, lhcode.Wrap(lhcode.StoreUnavailable, err, "read the store's answer")
	}
	return answer{status: response.StatusCode, etag: response.Header.Get("ETag"), body: body}, nil
}

// fault returns the error that the answer's status stands for, or nil.
func (a answer) fault(what string) error {
	switch {
	case a.status < http.StatusMultipleChoices:
		return nil
	case a.status == http.StatusNotFound:
		return lhcode.New(lhcode.NotFound, what)
	case a.status == http.StatusPreconditionFailed:
		return lhcode.New(lhcode.PreconditionFailed, what)
	case a.status == http.StatusRequestEntityTooLarge:
		return lhcode.New(lhcode.SettingRange, what+": the value is too large")
	}
	return lhcode.Newf(lhcode.StoreUnavailable, "%s: status %d", what, a.status)
}

func condition(etag string) http.Header {
	if etag == "" {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {etag}}
}

func keyPath(key string) string { return "/keys/" + key }

func leasePath(name, holder string) string {
	return "/leases/" + url.PathEscape(name) + "?holder=" + url.QueryEscape(holder)
}
