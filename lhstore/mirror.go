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

// News is what changed in a store between two revisions, as far as it matters; after
// revision 0 that is all it holds.
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
	// Data returns the data of a key, or what stands for it, as far as it matters. It
	// may be called from any goroutine.
	Data(key string) ([]byte, bool)
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
	// State returns all that some other VM knows.
	State(ctx context.Context) (News, error)
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
	// startTimeout bounds the first listing, and others until one succeeds twice as
	// much each: the store answers in a few milliseconds, and a VM that knows nothing can
	// as well ask another one.
	startTimeout = 250 * time.Millisecond
	// longestStart bounds that time. All pages of a large store come within it, also while
	// each takes as long as the store's client waits.
	longestStart = 2 * time.Minute
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
	known    known
}

// State returns all that is known of the store; its revision is 0 for nothing.
func (m *Mirror) State() News {
	n := m.known.present(time.Now())
	there := n.Items[:0]
	for _, it := range n.Items {
		var ok bool
		if it.Data, ok = m.Consumer.Data(it.Key); ok {
			there = append(there, it)
		}
	}
	n.Items = there
	return n
}

// Run follows the store until ctx ends; the channel then gives nil.
func (m *Mirror) Run(ctx context.Context) <-chan error {
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
	*Mirror
	// listed is set while all that was listed is still followed.
	listed bool
	// due is when the store is read next, and missed is set where that is because news
	// were missed: the others know by then what is read.
	due    time.Time
	missed bool
	// unreached is set while the store does not answer; started is not until a call
	// has been made.
	started, unreached bool
	// pause is how long to wait after the next failure, and patience how long for an
	// answer while nothing is known.
	pause, patience time.Duration
}

func newMirroring(m *Mirror) *mirroring {
	return &mirroring{Mirror: m, pause: retryFirst, patience: startTimeout}
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
		if f.known.after == 0 {
			f.ask(ctx)
		}
	}
}

// ask begins with what another VM knows.
func (f *mirroring) ask(ctx context.Context) {
	n, err := f.Spread.State(ctx)
	if err != nil {
		f.Log.Debug().Err(err).Msg("no other VM knows the store")
		return
	}
	f.Log.Info().Uint64("at", n.Revision).Dur("age", n.Age).Int("items", len(n.Items)).Msg("state of another VM taken")
	f.listed = true
	f.advance(n.Revision, n.Age)
	f.apply(n.Items)
}

// hear takes news of another VM. What begins behind the revision that is known here
// has a gap before it, and the store is read at once.
func (f *mirroring) hear(n News) {
	if !f.listed {
		return
	}
	if n.After > f.known.after {
		f.Log.Debug().Uint64("after", n.After).Uint64("known", f.known.after).Msg("news missed; reading the store")
		f.due, f.missed = time.Now(), true
		return
	}
	f.advance(max(f.known.after, n.Revision), n.Age)
	f.apply(n.Items)
}

// advance notes that everything up to a revision was known some time ago.
func (f *mirroring) advance(revision uint64, age time.Duration) {
	f.known.advance(revision, time.Now().Add(-age))
	if due := time.Now().Add(f.Spread.Patience() - age); due.After(f.due) {
		f.due = due
	}
	f.Consumer.Refreshed(revision, age)
}

// read makes one listing or watch and passes on what it brings.
func (f *mirroring) read(ctx context.Context) {
	begun, before, relisted := time.Now(), f.known.after, !f.listed
	items, revision, err := f.fetch(ctx)
	if lhcode.Of(err) == lhcode.HistoryLost {
		f.Log.Info().Uint64("after", before).Msg("store has dropped its history; listing again")
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
	f.advance(revision, time.Since(begun))
	changed := f.apply(items)
	if before == 0 || missed {
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
	if f.known.after == 0 {
		return retryStart
	}
	return time.Duration(retryFactor * float64(f.Spread.Patience()))
}

// fetch reads what has changed and the revision up to which that is all; 0 where
// nothing was said.
func (f *mirroring) fetch(ctx context.Context) ([]Item, uint64, error) {
	if f.known.after == 0 {
		ctx, cancel := context.WithTimeout(ctx, f.patience)
		defer cancel()
		f.patience = min(2*f.patience, longestStart)
		return f.list(ctx)
	}
	if !f.listed {
		return f.list(ctx)
	}
	page, err := f.Feed.Changes(ctx, f.known.after, MirrorWait)
	if err != nil || len(page.Items) == 0 {
		return nil, 0, err
	}
	return page.Items, max(f.known.after, page.Revision), nil
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
	return append(all, f.known.missing(all, first)...), first, nil
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

// apply hands on the items that are newer than what is known of their keys, and
// returns those that say anything new.
func (f *mirroring) apply(items []Item) []Item {
	newer := f.known.take(items, time.Now())
	if len(newer) == 0 {
		return nil
	}
	return f.Consumer.Changed(newer)
}
