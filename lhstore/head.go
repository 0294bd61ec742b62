package lhstore

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// headKey is the key of the head.
const headKey = "head"

// Position is a place in the chain of accepted revisions.
type Position struct {
	Revision uint64 `json:"revision"`
	// Digest is of the revision's manifest. Two positions with the same revision
	// and different digests come from chains that parted, which only a store that
	// returned to an older state can bring about.
	Digest uint64 `json:"digest"`
}

// String returns the position as it stands in keys and logs.
func (p Position) String() string { return fmt.Sprintf("%d-%016x", p.Revision, p.Digest) }

// Newer reports whether p has a higher revision than q.
func (p Position) Newer(q Position) bool { return p.Revision > q.Revision }

// head is the value of the key that names the configuration in force.
type head struct {
	Position
	// Turn grows with each swap, so that no two values of the head are equal.
	Turn uint64 `json:"turn"`
	// Fence is the highest fencing number under which compaction has run.
	Fence uint64 `json:"fence"`
	// etag is of the write that the head was read from; empty for none.
	etag string
}

// Getter reads keys.
type Getter interface {
	Get(ctx context.Context, key string) (Value, error)
}

// readHead returns the head, or the zero head where none has been written.
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

// ensureHead returns the head, and writes an empty one first where there is none.
// So each swap that accepts a revision names the write that it replaces, and none
// succeeds on a store that lost everything after the revision's pages were written.
func ensureHead(ctx context.Context, store Store) (head, error) {
	now, err := readHead(ctx, store)
	if err != nil || now.etag != "" {
		return now, err
	}
	err = swapHead(ctx, store, now, now)
	if err != nil && lhcode.Of(err) != lhcode.PreconditionFailed {
		return head{}, lhcode.Wrap(lhcode.StoreUnavailable, err, "not done: write an empty head")
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

// swapHead replaces the head that was read as before by after, with the next turn.
func swapHead(ctx context.Context, store Store, before, after head) error {
	after.Turn = before.Turn + 1
	data, err := json.Marshal(after)
	if err != nil {
		return lhcode.Wrap(lhcode.Internal, err, "encode the head")
	}
	_, err = store.Swap(ctx, headKey, before.etag, data)
	return err
}
