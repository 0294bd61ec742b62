package lhstore

import (
	"context"
	"time"
)

// Feed is a store whose changes can be followed.
type Feed interface {
	// List returns a page of items in key order, starting after the given key.
	List(ctx context.Context, after string) (Page, error)
	// Changes waits for changes after the revision with the given number in the present
	// era. It returns an empty page with the store's revision if there were none within
	// wait, and an error with lhcode.HistoryLost if the store does not have them or with
	// lhcode.ResponseUnreadable if they can't be read, for example because they are too large.
	// Of several changes of a key, all but the last may be missing.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Page, error)
}

// Item is a key of a store that assigns a revision to each change.
type Item struct {
	Key  string `json:"key"`
	Data []byte `json:"data,omitempty"`
	// Revision is the number of the store's revision that is the last change of the key. Its
	// era is that of the Page or Update with the item.
	Revision uint64 `json:"revision"`
	// Deleted is set if that change deleted the key.
	Deleted bool `json:"deleted,omitempty"`
	// Replaces is set in a Page if the key changed before in the same watch, and those changes were
	// left out: a reader of a state in between has seen one of them.
	Replaces bool `json:"-"`
	// Copy is set if the data is an encoding by the Consumer of another VM and not that of
	// the store.
	Copy bool `json:"-"`
}

// Page is a part of a listing, or the changes that a watch returned.
type Page struct {
	Items []Item
	// Revision is the store's revision at the time of the response.
	Revision Revision
	// More is set if the listing continues after the last item.
	More bool
	// Skipped holds an error for each item that could not be decoded. Items has it without
	// data if its key could be.
	Skipped []error
}
