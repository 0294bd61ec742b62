package lhstore

import (
	"compress/gzip"
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Item is a key of a store that assigns a revision to each change.
type Item struct {
	Key  string `json:"key"`
	Data []byte `json:"data,omitempty"`
	// Revision is the store revision of the last change of the key.
	Revision uint64 `json:"revision"`
	// Deleted is set if that change deleted the key.
	Deleted bool `json:"deleted,omitempty"`
}

// Page is a part of a listing, or the changes that a watch returned.
type Page struct {
	Items []Item
	// Revision is the store's revision at the time of the response.
	Revision uint64
	// More is set if the listing continues after the last item.
	More bool
}

// Update holds the relevant changes of a store between two revisions. If After is 0, it
// holds all relevant items of the store.
type Update struct {
	After, Revision uint64
	// Age is the time since the store was read.
	Age   time.Duration
	Items []Item
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

// Feed is a store whose changes can be followed.
type Feed interface {
	// List returns a page of items in key order, starting after the given key.
	List(ctx context.Context, after string) (Page, error)
	// Changes waits for changes after a revision. It returns an empty page if there
	// were none within wait, and an error with lhcode.HistoryLost if the store no
	// longer has them.
	Changes(ctx context.Context, after uint64, wait time.Duration) (Page, error)
}

// Consumer receives what a Mirror reads. Unless stated otherwise its methods are called
// from one goroutine.
type Consumer interface {
	// Apply processes items with revisions that it has not seen, and returns those that
	// changed the consumer's state.
	Apply(items []Item) []Item
	// ReachabilityChanged is called with the result of the first call to the store, and
	// whenever calls start to fail or succeed again.
	ReachabilityChanged(ok bool, cause error)
	// Data returns the data of a key, or an equivalent encoding, and whether the
	// consumer holds the key. It may be called from any goroutine.
	Data(key string) ([]byte, bool)
	// Refreshed reports that the items of the next call of Apply complete the state
	// up to a revision, which the store had age ago.
	Refreshed(revision uint64, age time.Duration)
}

// Distributor shares what VMs read from the store with the other VMs of a deployment.
type Distributor interface {
	// MaxAge returns the age of the known state at which this VM reads the store
	// itself.
	MaxAge() time.Duration
	// Publish sends an update read from the store to other VMs.
	Publish(Update)
	// Updates returns the channel of updates received from other VMs.
	Updates() <-chan Update
	// State returns the complete state known to another VM.
	State(ctx context.Context) (Update, error)
}

const (
	// MirrorWait is how long a watch waits for changes. A connection that no longer
	// delivers anything is detected only after this time.
	MirrorWait = time.Second
	// minRetryDelay is the delay after the first failed call. The delay doubles up to
	// maxRetryFactor times Distributor.MaxAge, as failed calls load the store as well.
	minRetryDelay  = 100 * time.Millisecond
	maxRetryFactor = 1.5
	// maxInitialRetryDelay bounds the delay of a VM that has no state yet and thus can't
	// serve traffic.
	maxInitialRetryDelay = 200 * time.Millisecond
	// initialListTimeout bounds the first listing. The timeout doubles with each attempt
	// until one succeeds. The store responds within a few milliseconds, and a VM without
	// state can get it from another VM instead.
	initialListTimeout = 250 * time.Millisecond
	// maxInitialListTimeout bounds that timeout. It is enough for all pages of a large
	// store even if each takes as long as the store client's timeout.
	maxInitialListTimeout = 2 * time.Minute
)

// Mirror follows a store. It lists the store once and then watches for changes, or
// receives them from other VMs. It lists again if the store has dropped its history or a
// watch returns nothing: a watch may miss changes while the store drops history, and
// entries of the store change so often that an empty result is suspect.
type Mirror struct {
	// Feed is the store.
	Feed Feed
	// Distributor exchanges updates with other VMs.
	Distributor Distributor
	// Consumer receives the items.
	Consumer Consumer
	Log      zerolog.Logger
	state    mirrorState
}

// State returns the complete known state of the store. Its revision is 0 if nothing is
// known.
func (m *Mirror) State() Update {
	u := m.state.snapshot(time.Now())
	held := u.Items[:0]
	for _, it := range u.Items {
		var ok bool
		if it.Data, ok = m.Consumer.Data(it.Key); ok {
			held = append(held, it)
		}
	}
	u.Items = held
	return u
}

// Run follows the store until ctx ends. The returned channel then receives nil.
func (m *Mirror) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		l := newMirrorLoop(m)
		for ctx.Err() == nil {
			l.step(ctx)
		}
		done <- nil
	}()
	return done
}

// mirrorLoop is the state of a running Mirror.
type mirrorLoop struct {
	*Mirror
	// listed is set while changes can be followed from the last listing or from the
	// state of another VM; otherwise the next read lists the store.
	listed bool
	// nextRead is when the store is read next. missedUpdate is set if the read is due
	// because an update from another VM was missed: the other VMs then know already
	// what is read.
	nextRead     time.Time
	missedUpdate bool
	// unreachable is set while calls to the store fail; called once any call was made.
	called, unreachable bool
	// retryDelay is the delay after the next failure, and listTimeout the timeout of the
	// next listing while there is no state.
	retryDelay, listTimeout time.Duration
}

func newMirrorLoop(m *Mirror) *mirrorLoop {
	return &mirrorLoop{Mirror: m, retryDelay: minRetryDelay, listTimeout: initialListTimeout}
}

// step waits until the next read is due or an update from another VM arrives, and
// handles it.
func (l *mirrorLoop) step(ctx context.Context) {
	t := time.NewTimer(time.Until(l.nextRead))
	defer t.Stop()
	select {
	case <-ctx.Done():
	case u := <-l.Distributor.Updates():
		l.receive(u)
	case <-t.C:
		l.read(ctx)
		if l.state.revision == 0 {
			l.loadPeerState(ctx)
		}
	}
}

// loadPeerState initializes the mirror from the state of another VM.
func (l *mirrorLoop) loadPeerState(ctx context.Context) {
	u, err := l.Distributor.State(ctx)
	if err != nil {
		l.Log.Debug().Err(err).Msg("no state available from other VMs")
		return
	}
	l.Log.Info().Uint64("at", u.Revision).Dur("age", u.Age).Int("items", len(u.Items)).Msg("state of another VM taken")
	l.listed = true
	l.advance(u.Revision, u.Age)
	l.apply(u.Items)
}

// receive applies an update from another VM. If the update starts after the revision
// known here, changes are missing in between and the store is read at once.
func (l *mirrorLoop) receive(u Update) {
	if !l.listed {
		return
	}
	if u.After > l.state.revision {
		l.Log.Debug().Uint64("after", u.After).Uint64("known", l.state.revision).Msg("update missed; reading the store")
		l.nextRead, l.missedUpdate = time.Now(), true
		return
	}
	l.advance(max(l.state.revision, u.Revision), u.Age)
	l.apply(u.Items)
}

// advance records that the state is complete up to a revision that the store had age
// ago, and postpones the next read accordingly.
func (l *mirrorLoop) advance(revision uint64, age time.Duration) {
	l.state.advance(revision, time.Now().Add(-age))
	if next := time.Now().Add(l.Distributor.MaxAge() - age); next.After(l.nextRead) {
		l.nextRead = next
	}
	l.Consumer.Refreshed(revision, age)
}

// read performs one listing or watch, applies the result and sends it to other VMs.
func (l *mirrorLoop) read(ctx context.Context) {
	start, before, relisted := time.Now(), l.state.revision, !l.listed
	items, revision, err := l.fetch(ctx)
	if lhcode.Of(err) == lhcode.HistoryLost {
		l.Log.Info().Uint64("after", before).Msg("store has dropped its history; listing again")
		l.listed = false
		return
	}
	l.reportReachability(ctx, err)
	if err != nil {
		l.nextRead = time.Now().Add(l.retryDelay)
		l.retryDelay = min(2*l.retryDelay, l.maxRetryDelay())
		return
	}
	missed := l.missedUpdate
	l.retryDelay, l.missedUpdate = minRetryDelay, false
	if revision == 0 {
		// An empty watch does not prove that nothing has changed; list the store.
		l.listed, l.nextRead = false, time.Now()
		return
	}
	l.nextRead = start
	l.advance(revision, time.Since(start))
	changed := l.apply(items)
	if before == 0 || missed {
		return
	}
	if relisted {
		// What is new here depends on what this VM has missed; the other VMs may lack
		// more. Send all changes since the previous revision.
		changed = changedAfter(items, before)
	}
	l.Distributor.Publish(Update{After: before, Revision: revision, Items: lastPerKey(changed)})
}

// maxRetryDelay returns the longest delay between failing calls.
func (l *mirrorLoop) maxRetryDelay() time.Duration {
	if l.state.revision == 0 {
		return maxInitialRetryDelay
	}
	return time.Duration(maxRetryFactor * float64(l.Distributor.MaxAge()))
}

// fetch returns the changes of the store and the revision up to which they are complete,
// or revision 0 if a watch returned nothing.
func (l *mirrorLoop) fetch(ctx context.Context) ([]Item, uint64, error) {
	if l.state.revision == 0 {
		ctx, cancel := context.WithTimeout(ctx, l.listTimeout)
		defer cancel()
		l.listTimeout = min(2*l.listTimeout, maxInitialListTimeout)
		return l.list(ctx)
	}
	if !l.listed {
		return l.list(ctx)
	}
	page, err := l.Feed.Changes(ctx, l.state.revision, MirrorWait)
	if err != nil || len(page.Items) == 0 {
		return nil, 0, err
	}
	return page.Items, max(l.state.revision, page.Revision), nil
}

// reportReachability tells the consumer if the store became reachable or unreachable.
func (l *mirrorLoop) reportReachability(ctx context.Context, err error) {
	if ctx.Err() != nil || l.called && l.unreachable == (err != nil) {
		return
	}
	l.called, l.unreachable = true, err != nil
	l.Consumer.ReachabilityChanged(err == nil, err)
}

// list returns all items of the store and a deletion for each known key that is not
// listed. Pages are not a consistent snapshot, so watches start at the revision of the
// first page.
func (l *mirrorLoop) list(ctx context.Context) ([]Item, uint64, error) {
	var all []Item
	first := uint64(0)
	for after, more := "", true; more; {
		page, err := l.Feed.List(ctx, after)
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
	l.listed = true
	return append(all, l.state.deletions(all, first)...), first, nil
}

// changedAfter returns the items that changed after a revision.
func changedAfter(items []Item, revision uint64) []Item {
	var later []Item
	for _, it := range items {
		if it.Revision > revision {
			later = append(later, it)
		}
	}
	return later
}

// lastPerKey returns the last change of each key.
func lastPerKey(items []Item) []Item {
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

// apply passes the items that are newer than the known state to the consumer, and
// returns those that changed the consumer's state.
func (l *mirrorLoop) apply(items []Item) []Item {
	newer := l.state.merge(items, time.Now())
	if len(newer) == 0 {
		return nil
	}
	return l.Consumer.Apply(newer)
}
