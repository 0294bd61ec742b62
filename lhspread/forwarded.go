package lhspread

import (
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

const (
	// forwardedUpdates is the number of updates that a VM remembers to have forwarded: more than
	// are on their way at the same time.
	forwardedUpdates = 2 * queueLength
	// maxForwarded is the number of observations that a VM remembers to have forwarded; all are
	// forgotten at that number.
	maxForwarded = 4 * maxPending
	// sameUpdate is the difference in age below which two updates result from the same reading of
	// the store, or from readings so close that one is enough; less than the time between two
	// readings by the first VM. Updates appear younger by the time that they are on their way.
	sameUpdate = ReadPeriod / 2
	// sameObservation is that difference for observations of the same kind by the same VM, which
	// collects its own for as long.
	sameObservation = shareInterval
)

// forwarded is what a VM has forwarded lately. A delivery that comes again is not forwarded
// again: while VMs know different members or sizes of others, their trees differ, and it could
// go in circles. The zero forwarded is empty.
type forwarded struct {
	mu sync.Mutex
	// updates holds the latest ones; the oldest is at next.
	updates [forwardedUpdates]forwardedUpdate
	next    int
	// observations holds the time at which each was seen, which is zero in the key.
	observations map[Observation]time.Time
}

// forwardedUpdate is an update without its items.
type forwardedUpdate struct {
	after, revision lhstore.Revision
	listed          bool
	readAt          time.Time
}

// covers reports whether a VM that has received f learns nothing from another update.
func (f *forwardedUpdate) covers(d *delivery) bool {
	return f.revision == d.revision && f.listed == d.listed && f.after.Compare(d.after) <= 0 &&
		d.readAt.Sub(f.readAt) < sameUpdate
}

// addUpdate records that an update is forwarded, and reports false if it was before.
func (f *forwarded) addUpdate(d *delivery) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.updates {
		if f.updates[i].covers(d) {
			return false
		}
	}
	f.updates[f.next] = forwardedUpdate{d.after, d.revision, d.listed, d.readAt}
	f.next = (f.next + 1) % forwardedUpdates
	return true
}

// addObservations records that observations are forwarded, and returns those that were not
// before.
func (f *forwarded) addObservations(list []Observation) (added []Observation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, o := range list {
		key := o
		key.SeenAt = time.Time{}
		if seenAt, ok := f.observations[key]; ok && o.SeenAt.Sub(seenAt) < sameObservation {
			continue
		}
		if f.observations == nil || len(f.observations) >= maxForwarded {
			f.observations = make(map[Observation]time.Time)
		}
		f.observations[key] = o.SeenAt
		added = append(added, o)
	}
	return added
}
