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
	// Era is the number of times that the store has been restored from a copy.
	Era uint64
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

// Feed is a store whose changes can be followed.
type Feed interface {
	// List returns a page of items in key order, starting after the given key.
	List(ctx context.Context, after string) (Page, error)
	// Changes waits for changes after a revision. It returns an empty page with the
	// store's revision if there were none within wait, and an error with
	// lhcode.HistoryLost if the store no longer has them.
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
	// ReadAge returns the age at which it reads the store even if another VM answers. If
	// that is above MaxAge, it asks another VM for changes first.
	ReadAge() time.Duration
	// Publish sends an update read from the store to other VMs.
	Publish(Update)
	// Updates returns the channel of updates received from other VMs.
	Updates() <-chan Update
	// State returns the changes after a revision that another VM knows, or its complete
	// state if after is 0 or that VM lacks some of the changes.
	State(ctx context.Context, after uint64, from Source) (Update, error)
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

const (
	// MirrorWait is how long a watch waits for changes. The first VM reads again
	// within its own and this time, before the others consider their state outdated.
	MirrorWait = 300 * time.Millisecond
	// minRetryDelay is the delay after the first failed call. The delay doubles up to
	// maxRetryFactor times Distributor.MaxAge, as failed calls load the store as well.
	minRetryDelay  = 100 * time.Millisecond
	maxRetryFactor = 1.5
	// maxPeerAge is the age of another VM's state, as a fraction of Distributor.MaxAge, at
	// which it replaces a read of the store.
	maxPeerAge = 0.75
	// peerRetryDelay is the delay after another VM had nothing newer.
	peerRetryDelay = 200 * time.Millisecond
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
// watch returns nothing although the store's revision has increased: a watch may miss
// changes while the store drops history. If it misses an update from another VM, it
// requests the changes from a third one and reads the store only if that fails.
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

// State returns the known changes of the store after a revision, or the complete known
// state if after is 0 or not all of these changes are known. Its revision is 0 if nothing
// is known.
func (m *Mirror) State(after uint64) Update {
	u := m.state.snapshot(time.Now(), after)
	held := u.Items[:0]
	for _, it := range u.Items {
		ok := it.Deleted
		if ok {
			held = append(held, it)
			continue
		}
		if it.Data, ok = m.Consumer.Data(it.Key); ok {
			held = append(held, it)
		}
	}
	u.Items = held
	return u
}

// KeyRevision returns the revision of the last known change of a key, or 0 if the key is not
// known.
func (m *Mirror) KeyRevision(key string) uint64 { return m.state.keyRevision(key) }

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
	// nextRead is when the store is read next. missedUpdate is the revision up to which
	// other VMs have changes that were missed here, or 0: they know already what is read
	// then.
	nextRead     time.Time
	missedUpdate uint64
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
		if l.askPeer(ctx) {
			return
		}
		l.read(ctx)
		if l.state.revision == 0 {
			l.loadPeerState(ctx, FromAny)
		}
	}
}

// askPeer asks another VM for changes if that may replace a read of the store, and reports
// whether it does.
func (l *mirrorLoop) askPeer(ctx context.Context) bool {
	missed := l.missedUpdate > 0
	readAge := l.Distributor.ReadAge()
	asks := readAge > l.Distributor.MaxAge()
	if !l.listed || !missed && !asks {
		return false
	}
	from := FromReader
	if missed {
		from = FromAny
	}
	answered, recent := l.loadPeerState(ctx, from)
	if recent {
		return true
	}
	if !answered || !asks || time.Since(l.state.asOf) >= readAge {
		return false
	}
	l.nextRead = time.Now().Add(peerRetryDelay)
	return true
}

// loadPeerState obtains the changes that are missing here from another VM, or its
// complete state if nothing is known. It reports whether a VM has answered, and whether the
// state is recent now and lacks no change that is known to exist.
func (l *mirrorLoop) loadPeerState(ctx context.Context, from Source) (answered, recent bool) {
	known, missed := l.state.revision, l.missedUpdate
	u, err := l.Distributor.State(ctx, known, from)
	if err != nil || u.Revision < missed || u.Revision < known || u.After > known {
		l.Log.Debug().Err(err).Uint64("known", known).Uint64("at", u.Revision).Msg("no state available from other VMs")
		return err == nil, false
	}
	if time.Since(l.state.asOf) <= u.Age && missed == 0 {
		return true, false
	}
	l.Log.Info().Uint64("known", known).Uint64("after", u.After).Uint64("at", u.Revision).Dur("age", u.Age).
		Int("items", len(u.Items)).Msg("state of another VM taken")
	items := u.Items
	if u.After == 0 {
		items = append(items, l.state.deletions(items, u.Revision)...)
		l.state.startHistory(u.Revision)
	}
	l.listed, l.missedUpdate = true, 0
	l.advance(u.Revision, u.Age)
	l.apply(items)
	return true, missed > 0 || u.Age < time.Duration(maxPeerAge*float64(l.Distributor.MaxAge()))
}

// receive applies an update from another VM. If changes between the revision known here
// and that of the update are not in the update, they are obtained at once.
func (l *mirrorLoop) receive(u Update) {
	if !l.listed {
		return
	}
	known := l.state.revision
	// A listing hides deletions of keys that are known here from changes after u.After.
	hidden := u.Listed && u.After < l.state.newest && known < u.Revision
	if hidden || u.After > known {
		l.Log.Debug().Uint64("after", u.After).Uint64("known", known).Bool("listed", u.Listed).Msg("update missed")
		l.nextRead, l.missedUpdate = time.Now(), max(l.missedUpdate, u.Revision)
		if hidden {
			l.apply(u.Items)
		}
		return
	}
	if u.Listed {
		l.state.startHistory(u.Revision)
	}
	l.advance(max(known, u.Revision), u.Age)
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
	before, relisted := l.state.revision, !l.listed
	result, err := l.fetch(ctx)
	if lhcode.Of(err) == lhcode.HistoryLost {
		l.Log.Info().Uint64("after", before).Msg("store has dropped its history; listing again")
		l.listed = false
		return
	}
	l.reportReachability(ctx, err)
	if err != nil {
		l.retryDelay = max(l.retryDelay, l.firstRetryDelay())
		l.nextRead = time.Now().Add(l.retryDelay)
		l.retryDelay = min(2*l.retryDelay, l.maxRetryDelay())
		return
	}
	missed := l.missedUpdate > 0
	l.retryDelay, l.missedUpdate = minRetryDelay, 0
	if result.revision == 0 {
		l.Log.Debug().Uint64("known", before).Msg("watch lacks changes; listing the store")
		l.listed, l.nextRead = false, time.Now()
		return
	}
	if relisted || len(result.items) > 0 {
		l.Log.Info().Uint64("known", before).Uint64("at", result.revision).Uint64("era", result.era).
			Int("items", len(result.items)).Bool("listed", relisted).Msg("store read")
	}
	if relisted {
		l.state.startHistory(result.revision)
	}
	l.nextRead = result.asOf
	l.advance(result.revision, time.Since(result.asOf))
	changed := l.apply(result.items)
	if before == 0 || missed {
		return
	}
	if relisted {
		// What is new here depends on what this VM has missed; the other VMs may lack
		// more. Send all changes since the previous revision.
		changed = changedAfter(result.items, before)
	}
	l.Distributor.Publish(Update{
		After: before, Revision: result.revision, Age: time.Since(result.asOf), Items: lastPerKey(changed), Listed: relisted,
	})
}

// firstRetryDelay returns the delay after the first of several failing calls. A VM that
// steps in for others leaves it to them to notice quickly that the store is back.
func (l *mirrorLoop) firstRetryDelay() time.Duration {
	if l.state.revision > 0 && l.Distributor.ReadAge() > l.Distributor.MaxAge() {
		return l.Distributor.MaxAge()
	}
	return minRetryDelay
}

// maxRetryDelay returns the longest delay between failing calls.
func (l *mirrorLoop) maxRetryDelay() time.Duration {
	if l.state.revision == 0 {
		return maxInitialRetryDelay
	}
	return time.Duration(maxRetryFactor * float64(l.Distributor.MaxAge()))
}

// readResult is what a read of the store returned: changes, and the revision up to which
// they were complete at some time. The revision is 0 if the store has to be listed.
type readResult struct {
	items    []Item
	revision uint64
	asOf     time.Time
	// era is the era of the store that responded.
	era uint64
}

// fetch lists or watches the store.
func (l *mirrorLoop) fetch(ctx context.Context) (readResult, error) {
	start := time.Now()
	if !l.listed || l.state.revision == 0 {
		if l.state.revision == 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, l.listTimeout)
			defer cancel()
			l.listTimeout = min(2*l.listTimeout, maxInitialListTimeout)
		}
		items, at, err := l.list(ctx)
		return readResult{items, at.Revision, start, at.Era}, err
	}
	page, err := l.Feed.Changes(ctx, l.state.revision, MirrorWait)
	switch {
	case err != nil:
		return readResult{}, err
	case len(page.Items) > 0:
		return readResult{page.Items, max(l.state.revision, page.Revision), start, page.Era}, nil
	case page.Revision != l.state.revision:
		return readResult{}, nil
	case time.Since(start) >= MirrorWait:
		// The store has responded at the end of the wait.
		start = start.Add(MirrorWait)
	}
	return readResult{nil, page.Revision, start, page.Era}, nil
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
func (l *mirrorLoop) list(ctx context.Context) ([]Item, Page, error) {
	var all []Item
	var first Page
	for after, more := "", true; more; {
		page, err := l.Feed.List(ctx, after)
		if err != nil {
			return nil, Page{}, err
		}
		if first.Revision == 0 {
			first = page
		}
		all = append(all, page.Items...)
		if more = page.More && len(page.Items) > 0; more {
			after = page.Items[len(page.Items)-1].Key
		}
	}
	l.listed = true
	return append(all, l.state.deletions(all, first.Revision)...), first, nil
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
	newer, known := l.state.merge(items, time.Now())
	if n := len(known); n > 0 {
		last := known[n-1]
		l.Log.Info().Int("items", len(items)).Int("dropped", n).Str("key", last.Key).Uint64("at", last.Revision).
			Uint64("known", l.state.keyRevision(last.Key)).Msg("items dropped as already known")
	}
	if len(newer) == 0 {
		return nil
	}
	return l.Consumer.Apply(newer)
}
