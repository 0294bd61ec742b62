package lhstore

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Item is a key of a store that numbers its changes.
type Item struct {
	Key  string
	Data []byte
	// Revision is that of the item's last change.
	Revision uint64
	// Deleted is set where that change removed the key.
	Deleted bool
}

// Page is a part of a listing, or the changes that a watch returned.
type Page struct {
	Items []Item
	// Revision is the store's at the time of the answer.
	Revision uint64
	// More is set where a listing goes on after the last item.
	More bool
}

// Feed is a store whose changes can be followed.
type Feed interface {
	// List returns the items that begin with prefix, in order, from behind a key.
	List(ctx context.Context, prefix, after string) (Page, error)
	// Changes waits for changes after a revision. It returns an empty page when
	// there were none in the time, and an error with lhcode.HistoryLost when the
	// store does not have them any more.
	Changes(ctx context.Context, prefix string, after uint64, wait time.Duration) (Page, error)
}

// Consumer takes what a Mirror reads. Its methods are called from one goroutine.
type Consumer interface {
	// Listed takes all items there are.
	Listed(items []Item)
	// Changed takes changes in the order of their revisions.
	Changed(items []Item)
	// Reached says whether the last call was answered, each time that changes.
	Reached(ok bool, cause error)
}

const (
	// MirrorPace is the least time between two watches, in which changes gather so
	// that one call returns them: a fifth of the time in which a server that drains
	// has to be known everywhere leaves room for failed calls.
	MirrorPace = 600 * time.Millisecond
	// MirrorWait is how long a watch waits. A connection that has gone silent is
	// noticed only after it.
	MirrorWait = time.Second
	// retryFirst and retryLongest are the pauses after failed calls.
	retryFirst   = 100 * time.Millisecond
	retryLongest = 800 * time.Millisecond
)

// Mirror follows everything under some prefixes of a store: it lists them once and
// then watches for changes, and lists again when the store has lost its history or
// a watch brings nothing. Watches may miss changes while the store drops history;
// a store whose entries change all the time and that reports nothing is suspect.
type Mirror struct {
	// Feed is the store.
	Feed Feed
	// Prefixes are listed one by one, Watched is a prefix of all of them.
	Prefixes []string
	Watched  string
	// Consumer takes what is read.
	Consumer Consumer
	Log      zerolog.Logger
}

// Run follows the store until ctx ends; the channel then gives nil.
func (m Mirror) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		f := mirroring{Mirror: m, pause: retryFirst}
		for ctx.Err() == nil {
			sleep(ctx, f.step(ctx))
		}
		done <- nil
	}()
	return done
}

// mirroring is the state of a running Mirror.
type mirroring struct {
	Mirror
	// listed is set while all that was listed is still followed by watches.
	listed bool
	// after is the revision up to which all changes are known.
	after uint64
	// reached is whether the last call was answered.
	reached bool
	// pause is how long to wait after the next failure.
	pause time.Duration
}

// step makes one listing or watch and returns the pause until the next.
func (f *mirroring) step(ctx context.Context) time.Duration {
	begun := time.Now()
	var err error
	if f.listed {
		err = f.watch(ctx)
	} else {
		err = f.list(ctx)
	}
	if lhcode.Of(err) == lhcode.HistoryLost {
		f.Log.Info().Uint64("after", f.after).Msg("store has dropped its history; listing again")
		f.listed = false
		return 0
	}
	f.note(ctx, err)
	if err != nil {
		pause := f.pause
		f.pause = min(2*f.pause, retryLongest)
		return pause
	}
	f.pause = retryFirst
	return max(MirrorPace-time.Since(begun), 0)
}

func (f *mirroring) note(ctx context.Context, err error) {
	if ctx.Err() != nil || f.reached == (err == nil) {
		return
	}
	f.reached = err == nil
	f.Consumer.Reached(f.reached, err)
}

// list reads all items. Pages are no snapshot, so watches begin at the revision of
// the first one.
func (f *mirroring) list(ctx context.Context) error {
	var all []Item
	first := uint64(0)
	for _, prefix := range f.Prefixes {
		for after := ""; ; {
			page, err := f.Feed.List(ctx, prefix, after)
			if err != nil {
				return err
			}
			if first == 0 {
				first = page.Revision
			}
			all = append(all, page.Items...)
			if !page.More || len(page.Items) == 0 {
				break
			}
			after = page.Items[len(page.Items)-1].Key
		}
	}
	f.listed, f.after = true, first
	f.Consumer.Listed(all)
	return nil
}

func (f *mirroring) watch(ctx context.Context) error {
	page, err := f.Feed.Changes(ctx, f.Watched, f.after, MirrorWait)
	if err != nil {
		return err
	}
	f.after = max(f.after, page.Revision)
	if len(page.Items) == 0 {
		f.listed = false
		return nil
	}
	f.Consumer.Changed(page.Items)
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
