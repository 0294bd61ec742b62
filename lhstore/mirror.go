package lhstore

import (
	"compress/gzip"
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Item is a key of a store that numbers its changes.
type Item struct {
	Key  string `json:"key"`
	Data []byte `json:"data,omitempty"`
	// Revision is that of the item's last change.
	Revision uint64 `json:"revision"`
	// Deleted is set where that change removed the key.
	Deleted bool `json:"deleted,omitempty"`
}

// Page is a part of a listing, or the changes that a watch returned.
type Page struct {
	Items []Item
	// Revision is the store's at the time of the answer.
	Revision uint64
	// More is set where a listing goes on after the last item.
	More bool
}

// News is what changed in a store between two revisions, as far as it matters.
type News struct {
	After, Revision uint64
	// Age is the time since the store was read.
	Age   time.Duration
	Items []Item
}

// Pack returns the items of the news for the way to another VM; nil where there are
// none.
func (n *News) Pack() ([]byte, error) {
	if len(n.Items) == 0 {
		return nil, nil
	}
	return packLevel(n.Items, "", gzip.BestSpeed)
}

// Unpack sets the items to what Pack has returned.
func (n *News) Unpack(data []byte) error {
	if len(data) == 0 {
		return nil
	}
	return unpack(data, &n.Items)
}

// Feed is a store whose changes can be followed.
type Feed interface {
	// List returns all items in order, from behind a key.
	List(ctx context.Context, after string) (Page, error)
	// Changes waits for changes after a revision. It returns an empty page when
	// there were none in the time, and an error with lhcode.HistoryLost when the
	// store does not have them any more.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Page, error)
}

// Consumer takes what a Mirror learns. Its methods are called from one goroutine.
type Consumer interface {
	// Changed takes items whose revisions it has not seen, and returns those that say
	// anything new.
	Changed(items []Item) []Item
	// Reached says whether the last call to the store was answered, each time that
	// changes.
	Reached(ok bool, cause error)
	// Refreshed says that everything up to a revision, which the store had some time
	// ago, is known with the items that Changed gets next.
	Refreshed(revision uint64, age time.Duration)
}

// Spread is how the VMs of a deployment share what they read.
type Spread interface {
	// Patience returns how old what the VM knows may become until it reads the store.
	Patience() time.Duration
	// Tell passes on what was read.
	Tell(News)
	// Heard gives what others have read.
	Heard() <-chan News
}

const (
	// MirrorWait is how long a watch waits. A connection that has gone silent is
	// noticed only after it.
	MirrorWait = time.Second
	// retryFirst is the pause after a failed call, retryFactor what the pause grows
	// to: so many times the patience of the VM, as failed calls cost as well.
	retryFirst  = 100 * time.Millisecond
	retryFactor = 1.5
	// retryStart bounds the pause of a VM that has read nothing yet and so serves nobody.
	retryStart = 200 * time.Millisecond
	// deletedLife is how long the revision of a removed key is kept, so that older
	// news can't bring it back.
	deletedLife = time.Minute
)

// Mirror follows a store: it lists it once and then watches for changes, or hears of
// them from other VMs. It lists again when the store has lost its history or a watch
// brings nothing: watches may miss changes while the store drops history, and a store
// whose entries change all the time and that reports nothing is suspect.
type Mirror struct {
	// Feed is the store.
	Feed Feed
	// Spread shares what is read.
	Spread Spread
	// Consumer takes what is learned.
	Consumer Consumer
	Log      zerolog.Logger
}

// Run follows the store until ctx ends; the channel then gives nil.
func (m Mirror) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		f := newMirroring(m)
		for ctx.Err() == nil {
			f.turn(ctx)
		}
		done <- nil
	}()
	return done
}

// mirroring is the state of a running Mirror.
type mirroring struct {
	Mirror
	// keys holds the revision of the last change of each key.
	keys map[string]keyState
	// listed is set while all that was listed is still followed.
	listed bool
	// after is the revision up to which all changes are known.
	after uint64
	// due is when the store is read next, and missed is set where that is because news
	// were missed: the others know by then what is read.
	due    time.Time
	missed bool
	// unreached is set while the store does not answer; started is not until a call
	// has been made.
	started, unreached bool
	// pause is how long to wait after the next failure.
	pause time.Duration
}

// keyState is the last change of a key; ended is set to the time of its removal.
type keyState struct {
	revision uint64
	ended    time.Time
}

func newMirroring(m Mirror) *mirroring {
	return &mirroring{Mirror: m, keys: make(map[string]keyState), pause: retryFirst}
}

// turn waits until the store is to be read, or for news.
func (f *mirroring) turn(ctx context.Context) {
	t := time.NewTimer(time.Until(f.due))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case n := <-f.Spread.Heard():
		f.hear(n)
	case <-t.C:
		f.read(ctx)
	}
}

// hear takes news of another VM. What begins behind the revision that is known here
// has a gap before it, and the store is read at once.
func (f *mirroring) hear(n News) {
	if !f.listed {
		return
	}
	if n.After > f.after {
		f.Log.Debug().Uint64("after", n.After).Uint64("known", f.after).Msg("news missed; reading the store")
		f.due, f.missed = time.Now(), true
		return
	}
	f.known(max(f.after, n.Revision), n.Age)
	f.apply(n.Items)
}

// known notes that everything up to a revision was known some time ago.
func (f *mirroring) known(revision uint64, age time.Duration) {
	f.after = revision
	if due := time.Now().Add(f.Spread.Patience() - age); due.After(f.due) {
		f.due = due
	}
	f.Consumer.Refreshed(revision, age)
}

// read makes one listing or watch and passes on what it brings.
func (f *mirroring) read(ctx context.Context) {
	begun, before, first, relisted := time.Now(), f.after, f.after == 0, !f.listed
	items, revision, err := f.fetch(ctx)
	if lhcode.Of(err) == lhcode.HistoryLost {
		f.Log.Info().Uint64("after", f.after).Msg("store has dropped its history; listing again")
		f.listed = false
		return
	}
	f.note(ctx, err)
	if err != nil {
		f.due = time.Now().Add(f.pause)
		f.pause = min(2*f.pause, f.longestPause())
		return
	}
	missed := f.missed
	f.pause, f.missed = retryFirst, false
	if revision == 0 {
		// A watch that brings nothing says nothing.
		f.listed, f.due = false, time.Now()
		return
	}
	f.due = begun
	f.known(revision, time.Since(begun))
	changed := f.apply(items)
	if first || missed {
		return
	}
	if relisted {
		// What is new here depends on what this VM has missed, and others have not.
		changed = since(items, before)
	}
	f.Spread.Tell(News{After: before, Revision: revision, Items: latest(changed)})
}

// longestPause returns the longest pause between calls that fail.
func (f *mirroring) longestPause() time.Duration {
	if f.after == 0 {
		return retryStart
	}
	return time.Duration(retryFactor * float64(f.Spread.Patience()))
}

// fetch reads what has changed and the revision up to which that is all; 0 where
// nothing was said.
func (f *mirroring) fetch(ctx context.Context) ([]Item, uint64, error) {
	if !f.listed {
		return f.list(ctx)
	}
	page, err := f.Feed.Changes(ctx, f.after, MirrorWait)
	if err != nil || len(page.Items) == 0 {
		return nil, 0, err
	}
	return page.Items, max(f.after, page.Revision), nil
}

func (f *mirroring) note(ctx context.Context, err error) {
	if ctx.Err() != nil || f.started && f.unreached == (err != nil) {
		return
	}
	f.started, f.unreached = true, err != nil
	f.Consumer.Reached(err == nil, err)
}

// list reads all items, and gives the end of those that are known and not listed.
// Pages are no snapshot, so watches begin at the revision of the first one.
func (f *mirroring) list(ctx context.Context) ([]Item, uint64, error) {
	var all []Item
	first := uint64(0)
	for after, more := "", true; more; {
		page, err := f.Feed.List(ctx, after)
		if err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = page.Revision
		}
		all = append(all, page.Items...)
		if more = page.More && len(page.Items) > 0; more {
			after = page.Items[len(page.Items)-1].Key
		}
	}
	f.listed = true
	return append(all, f.missing(all, first)...), first, nil
}

// since returns the items that changed after a revision.
func since(items []Item, revision uint64) []Item {
	var later []Item
	for _, it := range items {
		if it.Revision > revision {
			later = append(later, it)
		}
	}
	return later
}

// latest returns the last change of each key.
func latest(items []Item) []Item {
	last := make(map[string]int, len(items))
	for i, it := range items {
		last[it.Key] = i
	}
	kept := items[:0:0]
	for i, it := range items {
		if last[it.Key] == i {
			kept = append(kept, it)
		}
	}
	return kept
}

// missing returns the removals of the keys that are not listed.
func (f *mirroring) missing(listed []Item, revision uint64) []Item {
	there := make(map[string]bool, len(listed))
	for _, it := range listed {
		there[it.Key] = true
	}
	var gone []Item
	for key, k := range f.keys {
		if !there[key] && k.ended.IsZero() {
			gone = append(gone, Item{Key: key, Revision: max(revision, k.revision+1), Deleted: true})
		}
	}
	return gone
}

// apply hands on the items that are newer than what is known of their keys, and
// returns those that say anything new.
func (f *mirroring) apply(items []Item) []Item {
	var newer []Item
	now := time.Now()
	for _, it := range items {
		if k, ok := f.keys[it.Key]; ok && it.Revision <= k.revision {
			continue
		}
		k := keyState{revision: it.Revision}
		if it.Deleted {
			k.ended = now
		}
		f.keys[it.Key] = k
		newer = append(newer, it)
	}
	for key, k := range f.keys {
		if !k.ended.IsZero() && now.Sub(k.ended) > deletedLife {
			delete(f.keys, key)
		}
	}
	if len(newer) == 0 {
		return nil
	}
	return f.Consumer.Changed(newer)
}
