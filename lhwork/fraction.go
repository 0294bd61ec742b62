package lhwork

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// MemberRetention is how long a VM still counts a member that is missing from its
// view. It must exceed the time in which a membership change reaches all VMs that
// can reach each other.
const MemberRetention = 5 * time.Second

// LimitFraction computes this VM's fraction of every limit: one over the number of
// members seen within MemberRetention. It decreases as soon as a member appears, and
// increases only after MemberRetention.
//
// The fractions of all owners add up to 1 at most as long as VMs wrongly miss each
// other for less than MemberRetention and each VM is seen by the others before it
// owns flows. Each owner that began to own flows sooner adds no more than its own
// fraction. In a network partition, each side adds up to 1 at most, since it has to
// continue on its own. Limits are rounded up, so the sum over n owners can exceed a
// limit by a further n-1 at most.
//
// The zero LimitFraction is that of a single VM.
type LimitFraction struct {
	// members holds each member once.
	members []memberRecord
}

// memberRecord records when a member was last in the view.
type memberRecord struct {
	member lhflow.MemberID
	// missingSince is when the member was first missing; it has no meaning while
	// present is set.
	missingSince time.Duration
	present      bool
}

// Update records the members that own flows or may soon own them.
func (f *LimitFraction) Update(now time.Duration, members []lhflow.Member) {
	for i := range f.members {
		if s := &f.members[i]; s.present {
			s.present, s.missingSince = false, now
		}
	}
	for _, m := range members {
		f.markPresent(m.ID)
	}
	kept := f.members[:0]
	for _, s := range f.members {
		if s.counts(now) {
			kept = append(kept, s)
		}
	}
	f.members = kept
}

// Value returns the fraction at now, from 0 to 1.
func (f *LimitFraction) Value(now time.Duration) float64 {
	members := 0
	for _, s := range f.members {
		if s.counts(now) {
			members++
		}
	}
	return 1 / float64(max(members, 1))
}

// markPresent records that a member is in the current view.
func (f *LimitFraction) markPresent(m lhflow.MemberID) {
	for i := range f.members {
		if f.members[i].member == m {
			f.members[i].present = true
			return
		}
	}
	f.members = append(f.members, memberRecord{member: m, present: true})
}

func (s memberRecord) counts(now time.Duration) bool {
	return s.present || now-s.missingSince <= MemberRetention
}
