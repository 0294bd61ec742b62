package lhstore

import (
	"context"
	"fmt"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// maxAttempts is the maximum number of attempts of an apply that conflicts with other
// writes of the head.
const maxAttempts = 32

// Store is the part of the platform's service that is needed to accept revisions.
type Store interface {
	Getter
	Put(ctx context.Context, key string, data []byte) (string, error)
	CompareAndSwap(ctx context.Context, key, etag string, data []byte) (string, error)
}

// Fleet reports the revisions that VMs hold.
type Fleet interface {
	// Highest returns the highest position that a VM holds, or the zero Position if there
	// is no VM.
	Highest(ctx context.Context) (Position, error)
}

// Applier applies operators' changes. It is safe for concurrent use.
type Applier struct {
	store  Store
	check  Check
	assign AssignNumbers
	// fleet is nil if VMs are not queried.
	fleet Fleet
}

// NewApplier returns an Applier that accepts the configurations that check accepts. A
// nil check or assign means lhconf.Check or lhconf.AssignNumbers; with a nil fleet, VMs
// are not queried.
func NewApplier(store Store, check Check, assign AssignNumbers, fleet Fleet) *Applier {
	if check == nil {
		check = lhconf.Check
	}
	if assign == nil {
		assign = lhconf.AssignNumbers
	}
	return &Applier{store: store, check: check, assign: assign, fleet: fleet}
}

// Result is the outcome of a change.
type Result struct {
	// Position is the revision with the change; zero unless the change was accepted.
	Position Position
	// Unchanged is set if the files already were as the change sets them.
	Unchanged bool
	// Attempts is the number of times that the change was merged into a head.
	Attempts int
	// Ticket identifies the change in Lookup after an error with
	// lhcode.OutcomeUnknown.
	Ticket Ticket
}

// Apply merges a change into the current configuration and accepts the result as the
// next revision. Concurrent changes of different files are all accepted; the second of
// two changes of the same file fails with lhcode.Conflict.
//
// After any error but lhcode.OutcomeUnknown, no part of the change has taken effect or
// will. After lhcode.OutcomeUnknown, Lookup with the result's ticket returns the outcome.
func (a *Applier) Apply(ctx context.Context, change Change) (Result, error) {
	if err := change.validate(); err != nil {
		return Result{}, err
	}
	if change.PreviousAttempt != nil {
		at, err := a.Lookup(ctx, *change.PreviousAttempt)
		if lhcode.Of(err) != lhcode.NotFound {
			return Result{Position: at, Ticket: *change.PreviousAttempt}, err
		}
	}
	var current Snapshot
	var headErr error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		result, retry, err := a.attempt(ctx, &current, change)
		result.Attempts = attempt
		if !retry {
			return result, err
		}
		headErr = err
	}
	return Result{Attempts: maxAttempts}, lhcode.Wrap(lhcode.StoreUnavailable, headErr, "not done: the head changed during each attempt")
}

// attempt tries once to apply a change to the current head. It reports retry if the
// change was certainly not accepted and may be retried on a newer head.
func (a *Applier) attempt(ctx context.Context, current *Snapshot, change Change) (result Result, retry bool, err error) {
	before, err := a.refresh(ctx, current)
	if err != nil {
		return Result{}, headChanged(err), err
	}
	files, err := change.resolve(current)
	if err != nil {
		return Result{}, false, err
	}
	if len(files) == 0 {
		return Result{Position: current.position, Unchanged: true}, false, nil
	}
	next, err := a.nextSnapshot(current, change.ID, files)
	if err != nil {
		return Result{}, false, err
	}
	stamp := fmt.Sprintf("%s turn %d", change.ID, before.Generation)
	if err := writeSnapshot(ctx, a.store, current, &next, stamp); err != nil {
		return Result{}, false, err
	}
	ticket := Ticket{ID: change.ID, Base: before.Position, Generation: before.Generation, etag: before.etag}
	return a.commit(ctx, before, next.position, ticket)
}

// refresh reads the head and updates current to it.
func (a *Applier) refresh(ctx context.Context, current *Snapshot) (head, error) {
	before, err := ensureHead(ctx, a.store)
	if err != nil {
		return head{}, err
	}
	if err := a.checkNotStale(ctx, before.Position); err != nil {
		return head{}, err
	}
	*current, err = load(ctx, a.store, current, before.Position)
	return before, err
}

// checkNotStale rejects a head that is older than what VMs hold, as the store has after
// a rollback: a change based on it would revert accepted revisions. The error has
// lhcode.PreconditionFailed if the head has changed meanwhile, as VMs may hold a new
// revision before this operator has read it.
func (a *Applier) checkNotStale(ctx context.Context, at Position) error {
	if a.fleet == nil {
		return nil
	}
	highest, err := a.fleet.Highest(ctx)
	if err != nil {
		return lhcode.Wrap(lhcode.StoreUnavailable, err, "not done: query the revisions of the VMs")
	}
	if at.Newer(highest) || at == highest {
		return nil
	}
	now, err := readHead(ctx, a.store)
	if err != nil {
		return err
	}
	if now.Position != at {
		return lhcode.New(lhcode.PreconditionFailed, "the head has changed")
	}
	return lhcode.Newf(lhcode.RevisionLower, "not done: the store has revision %v, but VMs have %v", at, highest)
}

// headChanged reports whether a read failed because the head has changed meanwhile.
func headChanged(err error) bool {
	code := lhcode.Of(err)
	return code == lhcode.PreconditionFailed || code == lhcode.NotFound
}

// nextSnapshot returns the revision that follows current when files are changed.
func (a *Applier) nextSnapshot(current *Snapshot, id string, files []FileText) (Snapshot, error) {
	merged := current.Files()
	for _, f := range files {
		if f.Removed {
			delete(merged, f.Name)
		} else {
			merged[f.Name] = f.Text
		}
	}
	config, err := a.check(merged)
	if err != nil {
		return Snapshot{}, err
	}
	return current.successor(id, files, a.assign(current.Config(), config)), nil
}

// commit replaces the head before by a position whose contents have been written.
func (a *Applier) commit(ctx context.Context, before head, to Position, ticket Ticket) (Result, bool, error) {
	after := before
	after.Position = to
	err := swapHead(ctx, a.store, before, after)
	switch lhcode.Of(err) {
	case lhcode.OK:
		return Result{Position: to, Ticket: ticket}, false, nil
	case lhcode.PreconditionFailed:
		return Result{}, true, err
	case lhcode.OutcomeUnknown:
		at, err := a.Lookup(ctx, ticket)
		return Result{Position: at, Ticket: ticket}, lhcode.Of(err) == lhcode.NotFound, err
	}
	return Result{}, false, lhcode.Wrap(lhcode.StoreUnavailable, err, "not done: replace the head")
}

// writeSnapshot writes the pages of next that differ from current, and its manifest. They
// take effect only when the head refers to them. It must be called after reading the
// head that is to be replaced, as compaction relies on this order.
func writeSnapshot(ctx context.Context, store Store, current, next *Snapshot, stamp string) error {
	var wanted [PageCount]bool
	for i, hash := range next.hashes {
		wanted[i] = hash != "" && hash != current.hashes[i]
	}
	for i, p := range next.pages(&wanted) {
		if !wanted[i] {
			continue
		}
		if err := writeValue(ctx, store, pageKey(next.hashes[i]), p, stamp); err != nil {
			return err
		}
	}
	return writeValue(ctx, store, manifestKey(next.position), next.manifest, stamp)
}

func writeValue(ctx context.Context, store Store, key string, v any, stamp string) error {
	data, err := pack(v, stamp)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, key, data)
	if lhcode.Of(err) == lhcode.OutcomeUnknown {
		return lhcode.Wrap(lhcode.StoreUnavailable, err, "not done: write a page or manifest")
	}
	return err
}
