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
	// MaxValueSize is the size of the largest value that the store accepts, in bytes.
	MaxValueSize = 1 << 20
	// CallTimeout is the timeout of a call that doesn't wait for a change.
	CallTimeout = 2 * time.Second
	// WatchSlack is added to the wait of a watch to get the timeout of the call.
	WatchSlack = 2 * time.Second
	// listLimit is the maximum number of keys in a page of a listing.
	listLimit = 1000
)

// Value is the data of a key and the ETag of the write that stored it.
type Value struct {
	Data []byte
	ETag string
}

// Entry is a key of a listing and the ETag of its value.
type Entry struct {
	Key  string `json:"key"`
	ETag string `json:"etag"`
}

// Client calls the platform's key-value service over HTTP. It does not retry, as only
// its caller knows whether a call may be repeated.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client for the service at base, an HTTP URL without a path. A
// nil transport means http.DefaultTransport.
func NewClient(base string, transport http.RoundTripper) *Client {
	return &Client{base: base, http: &http.Client{Transport: transport}}
}

// Get returns the value of a key, or an error with lhcode.NotFound.
func (c *Client) Get(ctx context.Context, key string) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	return c.get(ctx, key, "", "")
}

// Watch waits until the ETag of the key differs from etag, and returns the new value.
// If that does not happen within wait, it returns a Value with the given etag and no
// data. An empty etag means that the key does not exist.
func (c *Client) Watch(ctx context.Context, key, etag string, wait time.Duration) (Value, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+WatchSlack)
	defer cancel()
	return c.get(ctx, key, "?wait="+wait.String(), etag)
}

func (c *Client) get(ctx context.Context, key, query, etag string) (Value, error) {
	header := http.Header{}
	if etag != "" {
		header.Set("If-None-Match", etag)
	}
	resp, err := c.do(ctx, http.MethodGet, keyPath(key)+query, header, nil)
	if err != nil {
		return Value{}, err
	}
	if resp.status == http.StatusNotModified {
		return Value{ETag: etag}, nil
	}
	return Value{Data: resp.body, ETag: resp.etag}, resp.statusError("read " + key)
}

// Put writes a key unconditionally and returns the ETag of the write.
func (c *Client) Put(ctx context.Context, key string, data []byte) (string, error) {
	return c.write(ctx, http.MethodPut, key, http.Header{}, data)
}

// CompareAndSwap writes a key only if its ETag equals etag; an empty etag means only if
// the key does not exist. Otherwise the error has lhcode.PreconditionFailed. An error
// with lhcode.OutcomeUnknown means that the write may have taken effect, or may still do
// so.
func (c *Client) CompareAndSwap(ctx context.Context, key, etag string, data []byte) (string, error) {
	return c.write(ctx, http.MethodPut, key, precondition(etag), data)
}

// Delete removes a key only if its ETag equals etag.
func (c *Client) Delete(ctx context.Context, key, etag string) error {
	_, err := c.write(ctx, http.MethodDelete, key, precondition(etag), nil)
	return err
}

func (c *Client) write(ctx context.Context, method, key string, header http.Header, data []byte) (string, error) {
	if len(data) > MaxValueSize {
		return "", lhcode.Newf(lhcode.SettingRange, "value of %s has %d bytes; the store accepts at most %d", key, len(data), MaxValueSize)
	}
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	action := "write " + key
	if method == http.MethodDelete {
		action = "delete " + key
	}
	resp, err := c.do(ctx, method, keyPath(key), header, data)
	if err != nil {
		return "", lhcode.Wrap(lhcode.OutcomeUnknown, err, action)
	}
	if resp.status >= http.StatusInternalServerError {
		return "", lhcode.Newf(lhcode.OutcomeUnknown, "%s: the store responded with status %d", action, resp.status)
	}
	return resp.etag, resp.statusError(action)
}

// List returns the keys with the given prefix, in order.
func (c *Client) List(ctx context.Context, prefix string) ([]Entry, error) {
	var all []Entry
	for after := ""; ; {
		var entries []Entry
		query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(listLimit)}}
		if err := c.getJSON(ctx, "/keys?"+query.Encode(), &entries); err != nil {
			return nil, err
		}
		all = append(all, entries...)
		if len(entries) < listLimit {
			return all, nil
		}
		after = entries[len(entries)-1].Key
	}
}

// VMs returns the platform's list of VMs, which may be out of date.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	var vms []VM
	err := c.getJSON(ctx, "/vms", &vms)
	return vms, err
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodGet, path, nil, nil)
	if err != nil {
		return err
	}
	if err := resp.statusError("read " + path); err != nil {
		return err
	}
	return lhcode.Wrap(lhcode.StoreUnavailable, json.Unmarshal(resp.body, into), "decode the store's response for "+path)
}

// Grant acquires the lease of a name, or renews it for its present holder, and returns
// its fencing token, which grows whenever the lease is acquired anew. The error has
// lhcode.LeaseLost while another holder has the lease.
func (c *Client) Grant(ctx context.Context, name, holder string, ttl time.Duration) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodPut, leasePath(name, holder)+"&ttl="+ttl.String(), nil, nil)
	if err != nil {
		return 0, err
	}
	if resp.status == http.StatusConflict {
		return 0, lhcode.Newf(lhcode.LeaseLost, "lease %s is held by another holder", name)
	}
	if err := resp.statusError("grant lease " + name); err != nil {
		return 0, err
	}
	fence, err := strconv.ParseUint(string(resp.body), 10, 64)
	return fence, lhcode.Wrap(lhcode.StoreUnavailable, err, "decode the store's response for lease "+name)
}

// Release gives up a lease before it expires.
func (c *Client) Release(ctx context.Context, name, holder string) error {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	resp, err := c.do(ctx, http.MethodDelete, leasePath(name, holder), nil, nil)
	if err != nil {
		return err
	}
	return resp.statusError("release lease " + name)
}

// response is an HTTP response with its complete body.
type response struct {
	status int
	etag   string
	body   []byte
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header, data []byte) (response, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return response{}, lhcode.Wrap(lhcode.Internal, err, "create the request")
	}
	// Without GetBody the transport never retries a request by itself.
	request.GetBody = nil
	for name, values := range header {
		request.Header[name] = values
	}
	resp, err := c.http.Do(request)
	if err != nil {
		return response{}, lhcode.Wrap(lhcode.StoreUnavailable, err, "call the store")
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 2*MaxValueSize))
	if err != nil {
		return response{}, lhcode.Wrap(lhcode.StoreUnavailable, err, "read the store's response")
	}
	return response{status: resp.StatusCode, etag: resp.Header.Get("ETag"), body: body}, nil
}

// statusError returns the error for the response's status code, or nil on success.
func (r response) statusError(op string) error {
	switch {
	case r.status < http.StatusMultipleChoices:
		return nil
	case r.status == http.StatusNotFound:
		return lhcode.New(lhcode.NotFound, op)
	case r.status == http.StatusPreconditionFailed:
		return lhcode.New(lhcode.PreconditionFailed, op)
	case r.status == http.StatusRequestEntityTooLarge:
		return lhcode.New(lhcode.SettingRange, op+": the value is too large")
	}
	return lhcode.Newf(lhcode.StoreUnavailable, "%s: the store responded with status %d", op, r.status)
}

func precondition(etag string) http.Header {
	if etag == "" {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {etag}}
}

func keyPath(key string) string { return "/keys/" + key }

func leasePath(name, holder string) string {
	return "/leases/" + url.PathEscape(name) + "?holder=" + url.QueryEscape(holder)
}
