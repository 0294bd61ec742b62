package lhstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// restoreID is used as the ID of a change when a VM restores the store.
const restoreID = "restore"

// maxWait is the maximum wait until a Runner checks again whether it watches the head.
const maxWait = time.Second

// Watcher is the part of the platform's service that a Runner needs.
type Watcher interface {
	Store
	Watch(ctx context.Context, key, etag string, wait time.Duration) (Value, error)
}

// Runner carries out the decisions of a Follower: it calls the store, and exchanges
// contents with peers.
type Runner struct {
	store   Watcher
	deliver func(lhconf.Config)
	// watching reports whether this VM watches the head at present.
	watching func() bool
	start    time.Time
	// wake ends a wait early. Its capacity is one.
	wake chan struct{}

	// adoptMu is held while a revision is adopted, so that deliver is called by one
	// goroutine at a time and with increasing revisions.
	adoptMu sync.Mutex
	// mu guards the fields below. The snapshot is modified with both locks held.
	mu       sync.Mutex
	follower Follower
	snapshot *Snapshot
	history  history
}

// State is the state of a Runner.
type State struct {
	Current  Position       `json:"held"`
	ChangeID string         `json:"apply,omitempty"`
	Store    Position       `json:"store"`
	Watching bool           `json:"watching"`
	Alarm    Alarm          `json:"alarm"`
	Failures int            `json:"failures"`
	Counts   FollowerCounts `json:"counts"`
}

// NewRunner returns a Runner that calls deliver with each accepted configuration, with
// increasing revisions and without the files. It calls watching to find out whether
// this VM is one of those that watch the store.
func NewRunner(store Watcher, watching func() bool, deliver func(lhconf.Config)) *Runner {
	return &Runner{
		store:    store,
		deliver:  deliver,
		watching: watching,
		start:    time.Now(),
		wake:     make(chan struct{}, 1),
		snapshot: &Snapshot{},
	}
}

// Run follows the store until ctx ends. The returned channel then receives nil. It
// continues during outages of the store.
func (r *Runner) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			r.step(ctx)
		}
		done <- nil
	}()
	return done
}

// Position returns the position of the current configuration.
func (r *Runner) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Current()
}

// Snapshot returns the current contents.
func (r *Runner) Snapshot() *Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

// State returns the state of the Runner.
func (r *Runner) State() State {
	watching := r.watching()
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Current:  r.follower.Current(),
		ChangeID: r.snapshot.ChangeID(),
		Store:    r.follower.StoreHead(),
		Watching: watching,
		Alarm:    r.follower.Alarm(),
		Failures: r.follower.Failures(),
		Counts:   r.follower.Counts(),
	}
}

// Content returns the update for a peer that has revision have and wants at least
// revision want, and the revision that the update leads to.
func (r *Runner) Content(_ context.Context, have, want uint64) (uint64, []byte, error) {
	r.mu.Lock()
	snapshot, history := r.snapshot, r.history
	r.mu.Unlock()
	at := snapshot.Position()
	if at.Revision == 0 || at.Revision < want {
		return 0, nil, lhcode.Newf(lhcode.NotFound, "revision %d is not available", want)
	}
	content, err := history.encodeUpdate(snapshot, have)
	return at.Revision, content, err
}

// Accept adopts the contents received from a peer if their revision is higher.
func (r *Runner) Accept(_ context.Context, _ uint64, content []byte) error {
	var p peerUpdate
	if err := unpack(content, &p); err != nil {
		return err
	}
	if err := r.checkNewer(p.At); err != nil {
		return err
	}
	next, err := p.applyTo(r.Snapshot())
	if err != nil {
		r.missedChange()
		return err
	}
	return r.adopt(&next)
}

func (r *Runner) step(ctx context.Context) {
	watching := r.watching()
	r.mu.Lock()
	step := r.follower.Step(r.now(), watching)
	r.mu.Unlock()
	switch step.Kind {
	case StepWait:
		r.wait(ctx, step.Until)
	case StepRead:
		value, err := r.store.Get(ctx, headKey)
		r.handleHead(ctx, value, err)
	case StepWatch:
		value, err := r.store.Watch(ctx, headKey, step.ETag, WatchWait)
		if err == nil && value.ETag == step.ETag {
			r.storeSucceeded()
			return
		}
		r.handleHead(ctx, value, err)
	}
}

// wait returns at until, or earlier if the next step may have changed.
func (r *Runner) wait(ctx context.Context, until time.Duration) {
	timer := time.NewTimer(min(until-r.now(), maxWait))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-timer.C:
	}
}

// handleHead processes the result of a read or watch of the head.
func (r *Runner) handleHead(ctx context.Context, value Value, err error) {
	var now head
	if lhcode.Of(err) == lhcode.NotFound {
		err = nil
	} else if err == nil {
		now, err = decodeHead(value)
	}
	if err != nil {
		r.storeFailed()
		return
	}
	r.mu.Lock()
	action := r.follower.HeadRead(r.now(), now.Position, now.etag, rand.Float64())
	current := r.snapshot
	r.mu.Unlock()
	switch action {
	case HeadLoad:
		r.load(ctx, current, now.Position)
	case HeadRestore:
		r.restore(ctx, current)
	}
}

// load adopts the contents that the store holds at a position.
func (r *Runner) load(ctx context.Context, current *Snapshot, at Position) {
	next, err := load(ctx, r.store, current, at)
	if err != nil {
		r.storeFailed()
		return
	}
	r.storeSucceeded()
	// adopt fails if the same revision has been received from a peer meanwhile.
	_ = r.adopt(&next)
}

// restore restores the store to the revision of this VM.
func (r *Runner) restore(ctx context.Context, current *Snapshot) {
	_, err := Restore(ctx, r.store, restoreID, current)
	if code := lhcode.Of(err); code != lhcode.OK && code != lhcode.PreconditionFailed {
		r.storeFailed()
		return
	}
	r.storeSucceeded()
}

// adopt makes a snapshot the current one.
func (r *Runner) adopt(next *Snapshot) error {
	r.adoptMu.Lock()
	defer r.adoptMu.Unlock()
	if err := r.checkNewer(next.position); err != nil {
		return err
	}
	r.deliver(next.configWithoutFiles())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshot = next
	r.history = r.history.add(next)
	return r.follower.Adopt(next.position, next.manifest.parent())
}

func (r *Runner) checkNewer(at Position) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.CheckNewer(at)
}

func (r *Runner) storeSucceeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.StoreSucceeded()
}

func (r *Runner) storeFailed() {
	watching := r.watching()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.StoreFailed(r.now(), watching, rand.Float64())
}

func (r *Runner) missedChange() {
	r.mu.Lock()
	r.follower.MissedChange(r.now(), rand.Float64())
	r.mu.Unlock()
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *Runner) now() time.Duration { return time.Since(r.start) }
