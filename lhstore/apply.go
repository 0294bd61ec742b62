package lhstore

import (
	"context"
	"fmt"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// maxAttempts bounds how often an apply starts over because others were faster.
const maxAttempts = 32

// Store is what acceptance needs of the platform's service.
type Store interface {
	Getter
	Put(ctx context.Context, key string, data []byte) (string, error)
	Swap(ctx context.Context, key, etag string, data []byte) (string, error)
}

// Fleet tells which revisions the VMs hold.
type Fleet interface {
	// Highest returns the highest position that a VM holds, and the zero Position
	// where there is no VM.
	Highest(ctx context.Context) (Position, error)
}

// Applier brings operators' changes into force. It may be used concurrently.
type Applier struct {
	store  Store
	check  Check
	assign Assign
	// fleet is nil where no VM is asked.
	fleet Fleet
}

// NewApplier returns an Applier that accepts what check lets pass. A nil check or
// assign stands for those of lhconf, a nil fleet for one without VMs.
func NewApplier(store Store, check Check, assign Assign, fleet Fleet) *Applier {
	if check == nil {
		check = lhconf.Check
	}
	if assign == nil {
		assign = lhconf.AssignNumbers
	}
	return &Applier{store: store, check: check, assign: assign, fleet: fleet}
}

// Result says what came of a change.
type Result struct {
	// Position holds the change. It is zero unless the change is done.
	Position Position
	// Unchanged is set when the files were already as the change wants them.
	Unchanged bool
	// Attempts counts how often the change was merged anew.
	Attempts int
	// Ticket serves to ask again after an error with lhcode.OutcomeUnknown.
	Ticket Ticket
}

// Apply merges a change into the configuration in force and accepts the outcome
// as the next revision. Changes of different files by several operators all
// enter; of two changes of one file the second gets lhcode.Conflict.
//
// With any error but lhcode.OutcomeUnknown nothing of the change is in force, nor
// will be. With lhcode.OutcomeUnknown the result's ticket serves to ask later.
func (a *Applier) Apply(ctx context.Context, change Change) (Result, error) {
	if err := change.validate(); err != nil {
		return Result{}, err
	}
	if change.Earlier != nil {
		at, err := a.Lookup(ctx, *change.Earlier)
		if lhcode.Of(err) != lhcode.NotFound {
			return Result{Position: at, Ticket: *change.Earlier}, err
		}
	}
	var held Snapshot
	var moved error
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		result, again, err := a.attempt(ctx, &held, change)
		result.Attempts = attempt
		if !again {
			return result, err
		}
		moved = err
	}
	return Result{Attempts: maxAttempts}, lhcode.Wrap(lhcode.StoreUnavailable, moved, "not done: the head moved each time")
}

// attempt tries a change once on the present head. It reports again when the
// change is certain not to have entered and may be tried on the next head.
func (a *Applier) attempt(ctx context.Context, held *Snapshot, change Change) (result Result, again bool, err error) {
	before, err := a.open(ctx, held)
	if err != nil {
		return Result{}, isMoved(err), err
	}
	files, err := change.against(held)
	if err != nil {
		return Result{}, false, err
	}
	if len(files) == 0 {
		return Result{Position: held.position, Unchanged: true}, false, nil
	}
	next, err := a.succeed(held, change.ID, files)
	if err != nil {
		return Result{}, false, err
	}
	stamp := fmt.Sprintf("%s turn %d", change.ID, before.Turn)
	if err := writeSnapshot(ctx, a.store, held, &next, stamp); err != nil {
		return Result{}, false, err
	}
	ticket := Ticket{ID: change.ID, Base: before.Position, Turn: before.Turn, etag: before.etag}
	return a.accept(ctx, before, next.position, ticket)
}

// open reads the head and brings held up to it.
func (a *Applier) open(ctx context.Context, held *Snapshot) (head, error) {
	before, err := ensureHead(ctx, a.store)
	if err != nil {
		return head{}, err
	}
	if err := a.guard(ctx, before.Position); err != nil {
		return head{}, err
	}
	*held, err = load(ctx, a.store, held, before.Position)
	return before, err
}

// guard refuses a head that is older than what the VMs hold, as it is after the
// store has returned to an older state: a change on top of it would take back
// revisions that are in force. The error has lhcode.PreconditionFailed where the
// head has moved meanwhile, which VMs may have noticed before this operator.
func (a *Applier) guard(ctx context.Context, at Position) error {
	if a.fleet == nil {
		return nil
	}
	highest, err := a.fleet.Highest(ctx)
	if err != nil {
		return lhcode.Wrap(lhcode.StoreUnavailable, err, "not done: ask the VMs for their revision")
	}
	if at.Newer(highest) || at == highest {
		return nil
	}
	now, err := readHead(ctx, a.store)
	if err != nil {
		return err
	}
	if now.Position != at {
		return lhcode.New(lhcode.PreconditionFailed, "the head moved")
	}
	return lhcode.Newf(lhcode.RevisionLower, "not done: the store holds revision %v, but VMs hold %v", at, highest)
}

// isMoved reports whether a read failed because the head moved on meanwhile.
func isMoved(err error) bool {
	code := lhcode.Of(err)
	return code == lhcode.PreconditionFailed || code == lhcode.NotFound
}

// succeed returns the revision that follows held by changed files.
func (a *Applier) succeed(held *Snapshot, id string, files []FileText) (Snapshot, error) {
	merged := held.Files()
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
	return held.successor(id, files, a.assign(held.Config(), config)), nil
}

// accept moves the head from before to a position whose contents are written.
func (a *Applier) accept(ctx context.Context, before head, to Position, ticket Ticket) (Result, bool, error) {
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
	return Result{}, false, lhcode.Wrap(lhcode.StoreUnavailable, err, "not done: move the head")
}

// writeSnapshot writes the pages of next that differ from held, and its manifest.
// None of it is in force before the head names it. It must be called after the
// head that is to be swapped was read: compaction relies on that.
func writeSnapshot(ctx context.Context, store Store, held, next *Snapshot, stamp string) error {
	var wanted [PageCount]bool
	for i, hash := range next.hashes {
		wanted[i] = hash != "" && hash != held.hashes[i]
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
		return lhcode.Wrap(lhcode.StoreUnavailable, err, "not done: write a part")
	}
	return err
}
