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
// changes a day they reach back an hour, within which a ticket can be looked up.
const RetainedRevisions = 512

// compactionLease is the name of the lease under which compaction runs.
const compactionLease = "compaction"

// CompactPeriod is the mean time between two runs of compaction by one VM.
const CompactPeriod = time.Hour

// CompactStore is what compaction needs of the platform's service.
type CompactStore interface {
	Store
	Granter
	List(ctx context.Context, prefix string) ([]Entry, error)
	Delete(ctx context.Context, key, etag string) error
}

// Compactor removes manifests and pages that no retained revision needs. Two at
// work at the same time would waste calls, so it runs under a lease. A holder
// that was paused until its lease lapsed does no harm either: it can't move the
// head, which carries a higher fencing number or another tag by then, and its
// deletes name the very writes that it saw before.
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

// Run compacts now and again while may reports true, until ctx ends, and then
// sends nil on the channel that it returns. A run that fails is made up for by a
// later one.
func (c *Compactor) Run(ctx context.Context, may func() bool) <-chan error {
	ended := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			timer := time.NewTimer(time.Duration((0.5 + rand.Float64()) * float64(CompactPeriod)))
			select {
			case <-ctx.Done():
			case <-timer.C:
				if may() {
					_, _ = c.Compact(ctx)
				}
			}
			timer.Stop()
		}
		ended <- nil
	}()
	return ended
}

// Compact runs once and returns the number of values removed.
//
// An apply writes its pages after it has read the head that it swaps. Compact
// lists the garbage, then swaps the head, and only then deletes. So an apply
// that began before the swap fails and starts over, and one that began after it
// writes each page that it needs under a new tag, which no delete names.
func (c *Compactor) Compact(ctx context.Context) (removed int, err error) {
	lease, err := AcquireLease(ctx, c.store, compactionLease, c.holder, c.clock)
	if err != nil {
		return 0, err
	}
	before, garbage, err := c.garbage(ctx)
	if err != nil || len(garbage) == 0 {
		return 0, err
	}
	if err := c.raiseFence(ctx, lease, before); err != nil {
		return 0, err
	}
	removed, err = c.remove(ctx, lease, garbage)
	if err != nil {
		return removed, err
	}
	return removed, c.store.Yield(ctx, compactionLease, c.holder)
}

// remove deletes what is garbage still, for as long as the lease lasts.
func (c *Compactor) remove(ctx context.Context, lease Lease, garbage []Entry) (removed int, err error) {
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

// raiseFence swaps the head for itself under the lease's fencing number.
func (c *Compactor) raiseFence(ctx context.Context, lease Lease, before head) error {
	if before.Fence > lease.fence {
		return lhcode.Newf(lhcode.LeaseLost, "lease %d was followed by %d", lease.fence, before.Fence)
	}
	after := before
	after.Fence = lease.fence
	if err := lease.Check(c.clock()); err != nil {
		return err
	}
	return swapHead(ctx, c.store, before, after)
}

// garbage returns the head and the values that the retained revisions don't need.
func (c *Compactor) garbage(ctx context.Context) (head, []Entry, error) {
	now, err := readHead(ctx, c.store)
	if err != nil {
		return now, nil, err
	}
	needed, err := c.needed(ctx, now.Position)
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
			if !needed[e.Key] && !isAhead(e.Key, now.Position) {
				garbage = append(garbage, e)
			}
		}
	}
	return now, garbage, nil
}

// needed returns the keys that the retained revisions refer to. The chain may end
// before them, where an earlier compaction or a restore has left off.
func (c *Compactor) needed(ctx context.Context, at Position) (map[string]bool, error) {
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

// isAhead reports whether key is of a manifest above the head's, which an apply
// has just written.
func isAhead(key string, at Position) bool {
	text, found := strings.CutPrefix(key, manifestPrefix)
	number, _, _ := strings.Cut(text, "-")
	revision, _ := strconv.ParseUint(number, 10, 64)
	return found && revision > at.Revision
}
