package lhstore

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// RetainedRevisions is the number of revisions that compaction keeps. At 11,000
// changes a day they cover an hour, during which a ticket can be looked up.
const RetainedRevisions = 512

// compactionLease is the name of the lease that compaction requires.
const compactionLease = "compaction"

// CompactPeriod is the mean time between two compactions by a VM.
const CompactPeriod = time.Hour

// CompactStore is the part of the platform's service that compaction needs.
type CompactStore interface {
	Store
	Granter
	List(ctx context.Context, prefix string) ([]Entry, error)
	Delete(ctx context.Context, key, etag string) error
}

// Compactor removes manifests and pages that no retained revision refers to. It runs
// under a lease, as concurrent compactions would waste calls. A holder that was paused
// until its lease expired does no harm either: it can't replace the head, which has a
// higher fencing token or another ETag by then, and it deletes keys only under the
// ETags that it has listed.
type Compactor struct {
	store  CompactStore
	holder string
	// retained is the number of revisions to keep; at least 1.
	retained uint64
	clock    func() time.Time
}

// NewCompactor returns a Compactor that acquires its lease as holder.
func NewCompactor(store CompactStore, holder string, retained uint64, clock func() time.Time) *Compactor {
	return &Compactor{store: store, holder: holder, retained: max(retained, 1), clock: clock}
}

// Run compacts periodically, if enabled reports true, until ctx ends. The returned channel
// then receives nil. Errors are ignored, as a later run removes the same values.
func (c *Compactor) Run(ctx context.Context, enabled func() bool) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			timer := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(CompactPeriod)))
			select {
			case <-ctx.Done():
			case <-timer.C:
				if enabled() {
					_, _ = c.Compact(ctx)
				}
			}
			timer.Stop()
		}
		done <- nil
	}()
	return done
}

// Compact runs once and returns the number of values removed.
//
// An apply writes its pages after it has read the head that it replaces. Compact lists
// the garbage, then rewrites the head, and only then deletes. So an apply that began
// before the rewrite fails and starts over, and one that began later writes each page
// that it needs under a new ETag, which no delete names.
func (c *Compactor) Compact(ctx context.Context) (removed int, err error) {
	lease, err := AcquireLease(ctx, c.store, compactionLease, c.holder, c.clock)
	if err != nil {
		return 0, err
	}
	removed, err = c.compactUnder(ctx, lease)
	// Others must not wait for the lease to expire, whatever the outcome.
	if releaseErr := c.store.Release(ctx, compactionLease, c.holder); err == nil {
		err = releaseErr
	}
	return removed, err
}

// compactUnder removes garbage while the lease is valid.
func (c *Compactor) compactUnder(ctx context.Context, lease Lease) (removed int, err error) {
	before, garbage, err := c.garbage(ctx)
	if err != nil || len(garbage) == 0 {
		return 0, err
	}
	if err := c.raiseFence(ctx, lease, before); err != nil {
		return 0, err
	}
	return c.deleteGarbage(ctx, lease, garbage)
}

// deleteGarbage deletes the listed values that have not been written since, until the
// lease expires.
func (c *Compactor) deleteGarbage(ctx context.Context, lease Lease, garbage []Entry) (removed int, err error) {
	for _, g := range garbage {
		if err := lease.Check(c.clock()); err != nil {
			return removed, err
		}
		err := c.store.Delete(ctx, g.Key, g.ETag)
		if err == nil {
			removed++
		} else if lhcode.Of(err) != lhcode.PreconditionFailed {
			return removed, err
		}
	}
	return removed, nil
}

// raiseFence rewrites the head with the lease's fencing token.
func (c *Compactor) raiseFence(ctx context.Context, lease Lease, before head) error {
	if before.Fence > lease.fence {
		return lhcode.Newf(lhcode.LeaseLost, "fencing token %d was superseded by %d", lease.fence, before.Fence)
	}
	after := before
	after.Fence = lease.fence
	if err := lease.Check(c.clock()); err != nil {
		return err
	}
	return swapHead(ctx, c.store, before, after)
}

// garbage returns the head and the values that no retained revision refers to.
func (c *Compactor) garbage(ctx context.Context) (head, []Entry, error) {
	now, err := readHead(ctx, c.store)
	if err != nil {
		return now, nil, err
	}
	needed, err := c.referenced(ctx, now.Position)
	if err != nil {
		return now, nil, err
	}
	var garbage []Entry
	for _, prefix := range []string{manifestPrefix, pagePrefix} {
		entries, err := c.store.List(ctx, prefix)
		if err != nil {
			return now, nil, err
		}
		for _, e := range entries {
			if !needed[e.Key] && !isNewerManifest(e.Key, now.Position) {
				garbage = append(garbage, e)
			}
		}
	}
	return now, garbage, nil
}

// referenced returns the keys that the retained revisions refer to. The chain may be
// shorter than that after an earlier compaction or a restore.
func (c *Compactor) referenced(ctx context.Context, at Position) (map[string]bool, error) {
	keys := map[string]bool{}
	for l, err := range chain(ctx, c.store, at) {
		if len(keys) > 0 && lhcode.Of(err) == lhcode.NotFound || at.Revision-l.At.Revision >= c.retained {
			break
		}
		if err != nil {
			return nil, err
		}
		keys[manifestKey(l.At)] = true
		for _, hash := range l.Manifest.Pages {
			keys[pageKey(hash)] = true
		}
	}
	return keys, nil
}

// isNewerManifest reports whether key is that of a manifest newer than the head, which
// an apply has just written.
func isNewerManifest(key string, at Position) bool {
	text, found := strings.CutPrefix(key, manifestPrefix)
	number, _, _ := strings.Cut(text, "-")
	revision, _ := strconv.ParseUint(number, 10, 64)
	return found && revision > at.Revision
}
