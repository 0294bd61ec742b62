package lhstore

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
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
// watch can't be read, or returns nothing although the store's revision has increased: a watch may
// miss changes while the store drops history. It also lists again if the store was restored from
// a copy, as the changes that it knows may be gone. If it misses an update from another VM, it
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
	// changing is held while changes are recorded in state and passed to Consumer, so that
	// State does not combine a new revision with old data.
	changing sync.Mutex
}

// Consumer receives what a Mirror reads. Unless stated otherwise its methods are called
// from one goroutine.
type Consumer interface {
	// Apply processes items with revisions that it has not seen, and returns those that
	// changed the consumer's state. After a restore of the store, an item may be older
	// than one of the same key that was processed before.
	Apply(items []Item) []Item
	// ReachabilityChanged is called with the result of the first call to the store, and
	// whenever calls start to fail or succeed again.
	ReachabilityChanged(ok bool, cause error)
	// Data returns the data of a key, or an equivalent encoding, and whether the
	// consumer holds the key. It may be called from any goroutine.
	Data(key string) ([]byte, bool)
	// Refreshed reports that the items of the next call of Apply complete the state
	// up to a revision, which the store had age ago.
	Refreshed(revision Revision, age time.Duration)
}

// State returns the known changes of the store after a revision, or the complete known
// state if after is zero or not all of these changes are known. Its revision is zero if
// nothing is known.
func (m *Mirror) State(after Revision) Update {
	m.changing.Lock()
	defer m.changing.Unlock()
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

// KeyRevision returns the revision of the last known change of a key, which is zero if the
// key is not known.
func (m *Mirror) KeyRevision(key string) Revision { return m.state.keyRevision(key) }

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
	// listed is set while changes can be followed from the known state; otherwise the next
	// read lists the store.
	listed bool
	// nextRead is when the store is read next. missedUpdate is the revision up to which
	// other VMs have changes that were missed here, or zero: they know already what is
	// read then.
	nextRead     time.Time
	missedUpdate Revision
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
		if l.state.revision.IsZero() {
			l.loadPeerState(ctx, FromAny)
		}
	}
}

// advance records that the state is complete up to a revision that the store had age
// ago, and postpones the next read accordingly.
func (l *mirrorLoop) advance(revision Revision, age time.Duration) {
	l.state.advance(revision, time.Now().Add(-age))
	if next := time.Now().Add(l.Distributor.MaxAge() - age); next.After(l.nextRead) {
		l.nextRead = next
	}
	l.Consumer.Refreshed(revision, age)
}

// change advances the state to a revision that the store had age ago and applies the items
// that lead there. It returns those that changed the consumer's state.
func (l *mirrorLoop) change(revision Revision, age time.Duration, items []Item) []Item {
	l.changing.Lock()
	defer l.changing.Unlock()
	l.advance(revision, age)
	return l.apply(revision.Era, items)
}

// apply passes those items of an era that are newer than the known state to the consumer,
// and returns those that changed the consumer's state. The caller holds l.changing.
func (l *mirrorLoop) apply(era uint64, items []Item) []Item {
	newer, known := l.state.merge(era, items, time.Now())
	if n := len(known); n > 0 {
		last := known[n-1]
		l.Log.Info().Int("items", len(items)).Int("dropped", n).Str("key", last.Key).
			Stringer("at", Revision{Era: era, Number: last.Revision}).
			Stringer("known", l.state.keyRevision(last.Key)).Msg("items dropped as already known")
	}
	if len(newer) == 0 {
		return nil
	}
	return l.Consumer.Apply(newer)
}
