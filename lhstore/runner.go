package lhstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// restoreID stands for the ID of a change where a VM restores the store.
const restoreID = "restore"

// restLimit is how long a Runner rests before it asks again whether it watches.
const restLimit = time.Second

// Watcher is what a Runner needs of the platform's service.
type Watcher interface {
	Store
	Watch(ctx context.Context, key, etag string, wait time.Duration) (Value, error)
}

// Runner carries out the decisions of a Follower: it calls the store, takes
// contents from peers and gives them to others.
type Runner struct {
	store   Watcher
	deliver func(lhconf.Config)
	// watching tells whether this VM watches the head at present.
	watching func() bool
	start    time.Time
	// wake has room for one token; it ends a rest before its time.
	wake chan struct{}

	// adopting is held while a revision is put in force, so that deliver is called
	// by one goroutine at a time and with rising revisions.
	adopting sync.Mutex
	// mu guards the fields below. The snapshot changes under both locks.
	mu       sync.Mutex
	follower Follower
	snapshot *Snapshot
	history  history
}

// State is what a Runner shows of itself.
type State struct {
	Held     Position       `json:"held"`
	Apply    string         `json:"apply,omitempty"`
	Store    Position       `json:"store"`
	Watching bool           `json:"watching"`
	Alarm    Alarm          `json:"alarm"`
	Failures int            `json:"failures"`
	Counts   FollowerCounts `json:"counts"`
}

// NewRunner returns a Runner that calls deliver with each configuration once it
// is accepted, with rising revisions and without the files. It asks watching whether this VM is one of
// those that watch the store.
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

// Run follows the store until ctx ends, and then sends nil on the channel that
// it returns. Outages of the store don't end it.
func (r *Runner) Run(ctx context.Context) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			r.step(ctx)
		}
		ended <- nil
	}()
	return ended
}

// Position returns the position in force.
func (r *Runner) Position() Position {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Held()
}

// Snapshot returns the contents in force.
func (r *Runner) Snapshot() *Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

// State returns what the Runner has met.
func (r *Runner) State() State {
	watching := r.watching()
	r.mu.Lock()
	defer r.mu.Unlock()
	return State{
		Held:     r.follower.Held(),
		Apply:    r.snapshot.Apply(),
		Store:    r.follower.Seen(),
		Watching: watching,
		Alarm:    r.follower.Alarm(),
		Failures: r.follower.Failures(),
		Counts:   r.follower.Counts(),
	}
}

// Content returns what a peer that holds one revision needs to get to another or
// a later one, and the revision that it leads to.
func (r *Runner) Content(_ context.Context, have, want uint64) (uint64, []byte, error) {
	r.mu.Lock()
	snapshot, history := r.snapshot, r.history
	r.mu.Unlock()
	at := snapshot.Position()
	if at.Revision == 0 || at.Revision < want {
		return 0, nil, lhcode.Newf(lhcode.NotFound, "revision %d is not held", want)
	}
	content, err := history.pack(snapshot, have)
	return at.Revision, content, err
}

// Accept puts a peer's content in force if its revision is higher.
func (r *Runner) Accept(_ context.Context, _ uint64, content []byte) error {
	var p parcel
	if err := unpack(content, &p); err != nil {
		return err
	}
	if err := r.wants(p.At); err != nil {
		return err
	}
	next, err := p.open(r.Snapshot())
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
	case StepRest:
		r.rest(ctx, step.Until)
	case StepRead:
		value, err := r.store.Get(ctx, headKey)
		r.read(ctx, value, err)
	case StepWatch:
		value, err := r.store.Watch(ctx, headKey, step.ETag, WatchWait)
		if err == nil && value.ETag == step.ETag {
			r.answered()
			return
		}
		r.read(ctx, value, err)
	}
}

// rest returns at until, or before when there is cause to look again.
func (r *Runner) rest(ctx context.Context, until time.Duration) {
	timer := time.NewTimer(min(until-r.now(), restLimit))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-timer.C:
	}
}

// read takes in an answer to a read or watch of the head.
func (r *Runner) read(ctx context.Context, value Value, err error) {
	var now head
	if lhcode.Of(err) == lhcode.NotFound {
		err = nil
	} else if err == nil {
		now, err = decodeHead(value)
	}
	if err != nil {
		r.failed()
		return
	}
	r.mu.Lock()
	action := r.follower.HeadRead(r.now(), now.Position, now.etag, rand.Float64())
	held := r.snapshot
	r.mu.Unlock()
	switch action {
	case HeadLoad:
		r.load(ctx, held, now.Position)
	case HeadRestore:
		r.restore(ctx, held)
	}
}

// load puts the contents that the store holds at a position in force.
func (r *Runner) load(ctx context.Context, held *Snapshot, at Position) {
	next, err := load(ctx, r.store, held, at)
	if err != nil {
		r.failed()
		return
	}
	r.answered()
	// It fails where a peer has brought the same revision meanwhile.
	_ = r.adopt(&next)
}

// restore brings the store up to what this VM holds.
func (r *Runner) restore(ctx context.Context, held *Snapshot) {
	_, err := Restore(ctx, r.store, restoreID, held)
	if code := lhcode.Of(err); code != lhcode.OK && code != lhcode.PreconditionFailed {
		r.failed()
		return
	}
	r.answered()
}

// adopt puts a snapshot in force.
func (r *Runner) adopt(next *Snapshot) error {
	r.adopting.Lock()
	defer r.adopting.Unlock()
	if err := r.wants(next.position); err != nil {
		return err
	}
	r.deliver(next.inForce())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.snapshot = next
	r.history = r.history.add(next)
	return r.follower.Adopt(next.position, next.manifest.before())
}

func (r *Runner) wants(at Position) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.follower.Wants(at)
}

func (r *Runner) answered() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.follower.StoreAnswered()
}

func (r *Runner) failed() {
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
