package lhstore

import (
	"compress/gzip"
	"context"
	"time"
)

// Update holds the relevant changes of a store between two revisions of the same era. If
// After is zero, it holds all relevant items of the store.
type Update struct {
	After, Revision Revision
	// Age is the time since the store was read.
	Age   time.Duration
	Items []Item
	// Listed is set if the changes were found by a listing, which does not show that a
	// key was both created and deleted between the two revisions.
	Listed bool
}

// Pack returns the items encoded and compressed for transfer to another VM, or nil if
// there are none.
func (u *Update) Pack() ([]byte, error) {
	if len(u.Items) == 0 {
		return nil, nil
	}
	return packLevel(u.Items, "", gzip.BestSpeed)
}

// Unpack sets the items from the output of Pack.
func (u *Update) Unpack(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return unpack(data, &u.Items)
}

// Distributor shares what VMs read from the store with the other VMs of a deployment.
type Distributor interface {
	// MaxAge returns the age of the known state at which this VM reads the store
	// itself.
	MaxAge() time.Duration
	// ReadAge returns the age at which it reads the store even if another VM answers. If
	// that is above MaxAge, it asks another VM for changes first.
	ReadAge() time.Duration
	// Publish sends an update read from the store to other VMs.
	Publish(Update)
	// Updates returns the channel of updates received from other VMs.
	Updates() <-chan Update
	// State returns the changes after a revision that another VM knows, or its complete
	// state if after is zero or that VM lacks some of the changes.
	State(ctx context.Context, after Revision, from Source) (Update, error)
}

// Source is which of the other VMs is asked for changes.
type Source uint8

// The sources.
const (
	// FromAny is any VM, most of which have received an update that this VM has missed.
	FromAny Source = iota
	// FromReader is a VM that reads the store when updates fail to come.
	FromReader
)
