package lhstore

import (
	"context"
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// read performs one listing or watch, applies the result and sends it to other VMs.
func (l *mirrorLoop) read(ctx context.Context) {
	before, relisted := l.state.revision, !l.listed
	result, err := l.fetch(ctx)
	code := lhcode.Of(err)
	if code == lhcode.HistoryLost || code == lhcode.ResponseUnreadable && !relisted {
		l.Log.Info().Err(err).Stringer("after", before).Msg("listing the store again")
		l.listed = false
		return
	}
	l.reportReachability(ctx, err)
	if err != nil {
		l.retryLater()
		return
	}
	missed := l.missedUpdate
	l.retryDelay, l.missedUpdate = minRetryDelay, Revision{}
	if result.revision.IsZero() {
		l.Log.Debug().Stringer("known", before).Msg("watch lacks changes; listing the store")
		l.listed, l.nextRead = false, time.Now()
		return
	}
	if relisted || len(result.items) > 0 {
		l.Log.Info().Stringer("known", before).Stringer("at", result.revision).
			Int("items", len(result.items)).Bool("listed", relisted).Msg("store read")
	}
	if relisted {
		l.state.startHistory(result.revision)
	}
	l.nextRead = result.asOf
	changed := l.change(result.revision, time.Since(result.asOf), result.items)
	knownToOthers := !missed.IsZero() && missed.Era == result.revision.Era
	if !before.IsZero() && !knownToOthers {
		l.publish(before, result, changed, relisted)
	}
}

// publish sends the result of a read to other VMs. The read has changed the given items
// here, where the state of the revision before was known.
func (l *mirrorLoop) publish(before Revision, result readResult, changed []Item, listed bool) {
	switch {
	case before.Era != result.revision.Era:
		// Changes that the store has lost can't be told from others. Send the complete state.
		before, changed = Revision{}, existing(result.items)
	case listed:
		// What is new here depends on what this VM has missed; the other VMs may lack
		// more. Send all changes since the previous revision.
		changed = changedAfter(result.items, before.Number)
	default:
		changed = withReplacing(changed, result.items)
	}
	l.Distributor.Publish(Update{
		After: before, Revision: result.revision, Age: time.Since(result.asOf), Items: lastPerKey(changed), Listed: listed,
	})
}

// reportReachability tells the consumer if the store became reachable or unreachable.
func (l *mirrorLoop) reportReachability(ctx context.Context, err error) {
	if ctx.Err() != nil || l.called && l.unreachable == (err != nil) {
		return
	}
	l.called, l.unreachable = true, err != nil
	l.Consumer.ReachabilityChanged(err == nil, err)
}

// retryLater delays the next read after a failed one.
func (l *mirrorLoop) retryLater() {
	l.retryDelay = max(l.retryDelay, l.firstRetryDelay())
	l.nextRead = time.Now().Add(l.retryDelay)
	l.retryDelay = min(2*l.retryDelay, l.maxRetryDelay())
}

// firstRetryDelay returns the delay after the first of several failing calls. A VM that
// steps in for others leaves it to them to notice quickly that the store is back.
func (l *mirrorLoop) firstRetryDelay() time.Duration {
	if !l.state.revision.IsZero() && l.Distributor.ReadAge() > l.Distributor.MaxAge() {
		return l.Distributor.MaxAge()
	}
	return minRetryDelay
}

// maxRetryDelay returns the longest delay between failing calls.
func (l *mirrorLoop) maxRetryDelay() time.Duration {
	if l.state.revision.IsZero() {
		return maxInitialRetryDelay
	}
	return time.Duration(maxRetryFactor * float64(l.Distributor.MaxAge()))
}

// readResult is what a read of the store returned: changes, and the revision up to which
// they were complete at some time. The revision is zero if the store has to be listed.
type readResult struct {
	items    []Item
	revision Revision
	asOf     time.Time
}

// fetch lists or watches the store.
func (l *mirrorLoop) fetch(ctx context.Context) (readResult, error) {
	start := time.Now()
	known := l.state.revision
	if !l.listed || known.IsZero() {
		if known.IsZero() {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, l.listTimeout)
			defer cancel()
			l.listTimeout = min(2*l.listTimeout, maxInitialListTimeout)
		}
		items, revision, err := l.list(ctx)
		return readResult{items, revision, start}, err
	}
	page, err := l.Feed.Changes(ctx, known.Number, MirrorWait)
	l.logSkipped(page)
	if err == nil {
		err = checkEra(page.Revision, known)
	}
	switch {
	case err != nil:
		return readResult{}, err
	case len(page.Items) > 0:
		return readResult{page.Items, later(known, page.Revision), start}, nil
	case page.Revision != known:
		return readResult{}, nil
	case time.Since(start) >= MirrorWait:
		// The store has responded at the end of the wait.
		start = start.Add(MirrorWait)
	}
	return readResult{nil, page.Revision, start}, nil
}

// checkEra returns an error if a response of the store is not of the known era. The error
// has lhcode.HistoryLost if the store was restored since.
func checkEra(response, known Revision) error {
	switch {
	case response.Era > known.Era:
		return lhcode.Newf(lhcode.HistoryLost, "the store was restored: its revision is %v, the known one %v", response, known)
	case response.Era < known.Era:
		return lhcode.Newf(lhcode.StoreUnavailable, "the store responded with revision %v, of an earlier era than %v", response, known)
	}
	return nil
}

// list returns all items of the store and a deletion for each known key that is not
// listed. Pages are not a consistent snapshot, so watches start at the revision of the
// first page. All pages are of the same era, which is not before the known one.
func (l *mirrorLoop) list(ctx context.Context) ([]Item, Revision, error) {
	var all []Item
	var first Revision
	for after, more := "", true; more; {
		page, err := l.Feed.List(ctx, after)
		if err != nil {
			return nil, Revision{}, err
		}
		l.logSkipped(page)
		if page.More && len(page.Items) == 0 && len(page.Skipped) > 0 {
			return nil, Revision{}, lhcode.Wrap(lhcode.ResponseUnreadable, page.Skipped[0], "no item of a page can be decoded")
		}
		if after == "" {
			first = page.Revision
		}
		if err := checkEra(page.Revision, first); err != nil {
			return nil, Revision{}, err
		}
		all = append(all, page.Items...)
		if more = page.More && len(page.Items) > 0; more {
			after = page.Items[len(page.Items)-1].Key
		}
	}
	if known := l.state.revision; first.Era < known.Era {
		return nil, Revision{}, checkEra(first, known)
	}
	l.listed = true
	return append(all, l.state.deletions(all, first)...), first, nil
}

// logSkipped logs that items of a page could not be decoded.
func (l *mirrorLoop) logSkipped(page Page) {
	if n := len(page.Skipped); n > 0 {
		l.Log.Warn().Err(page.Skipped[0]).Int("items", n).Stringer("at", page.Revision).Msg("items of the store can't be decoded")
	}
}

// existing returns the items that are not deletions.
func existing(items []Item) []Item {
	return slices.DeleteFunc(slices.Clone(items), func(it Item) bool { return it.Deleted })
}

// changedAfter returns the items that changed after the revision with a number in their era.
func changedAfter(items []Item, number uint64) []Item {
	var changed []Item
	for _, it := range items {
		if it.Revision > number {
			changed = append(changed, it)
		}
	}
	return changed
}

// withReplacing returns the items that changed the consumer's state, and those of a watch that
// replace earlier changes of their keys: a VM that read in between may have seen those.
func withReplacing(changed, items []Item) []Item {
	sent := make(map[string]bool, len(changed))
	for _, it := range changed {
		sent[it.Key] = true
	}
	for _, it := range items {
		if it.Replaces && !sent[it.Key] {
			changed = append(changed, it)
		}
	}
	return changed
}

// lastPerKey returns the last change of each key, as it is sent to other VMs.
func lastPerKey(items []Item) []Item {
	last := make(map[string]int, len(items))
	for i, it := range items {
		last[it.Key] = i
	}
	kept := items[:0:0]
	for i, it := range items {
		if last[it.Key] == i {
			it.Replaces = false
			kept = append(kept, it)
		}
	}
	return kept
}
