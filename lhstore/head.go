package lhstore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// headKey is the key of the head.
const headKey = "head"

// Position identifies a revision in the chain of accepted revisions.
type Position struct {
	Revision uint64 `json:"revision"`
	// Digest is the digest of the revision's manifest. Positions with the same revision
	// and different digests belong to diverged chains, which only a rollback of the
	// store can cause.
	Digest uint64 `json:"digest"`
}

// String returns the position as used in keys and logs.
func (p Position) String() string { return fmt.Sprintf("%d-%016x", p.Revision, p.Digest) }

// Newer reports whether p has a higher revision than q.
func (p Position) Newer(q Position) bool { return p.Revision > q.Revision }

// head is the value of headKey. It refers to the current configuration.
type head struct {
	Position
	// Generation grows with each swap, so that no two values of the head are equal.
	Generation uint64 `json:"turn"`
	// Fence is the highest fencing token of a compaction so far.
	Fence uint64 `json:"fence"`
	// etag is the ETag of the head when it was read; empty if it did not exist.
	etag string
}

// Getter reads keys.
type Getter interface {
	Get(ctx context.Context, key string) (Value, error)
}

// readHead returns the head, or the zero head if the key does not exist.
func readHead(ctx context.Context, store Getter) (head, error) {
	value, err := store.Get(ctx, headKey)
	if lhcode.Of(err) == lhcode.NotFound {
		return head{}, nil
	}
	if err != nil {
		return head{}, lhcode.Wrap(lhcode.StoreUnavailable, err, "read the head")
	}
	return decodeHead(value)
}

// ensureHead returns the head, after creating an empty one if there is none. Thus each
// swap that accepts a revision names the write that it replaces, and fails on a store
// that has lost all data since the pages of the revision were written.
func ensureHead(ctx context.Context, store Store) (head, error) {
	now, err := readHead(ctx, store)
	if err != nil || now.etag != "" {
		return now, err
	}
	err = swapHead(ctx, store, now, now)
	if err != nil && lhcode.Of(err) != lhcode.PreconditionFailed {
		return head{}, lhcode.Wrap(lhcode.StoreUnavailable, err, "not done: create the head")
	}
	return readHead(ctx, store)
}

func decodeHead(value Value) (head, error) {
	var h head
	if err := json.Unmarshal(value.Data, &h); err != nil {
		return head{}, lhcode.Wrap(lhcode.Internal, err, "decode the head")
	}
	h.etag = value.ETag
	return h, nil
}

// swapHead replaces the head before by after, with the next generation.
func swapHead(ctx context.Context, store Store, before, after head) error {
	after.Generation = before.Generation + 1
	data, err := json.Marshal(after)
	if err != nil {
		return lhcode.Wrap(lhcode.Internal, err, "encode the head")
	}
	_, err = store.CompareAndSwap(ctx, headKey, before.etag, data)
	return err
}
