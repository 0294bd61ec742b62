package lhwork

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// MemberRetention is how long a VM still counts a member that it sees no more. It must be
// longer than the time in which a change of membership reaches all VMs that can
// reach each other.
const MemberRetention = 5 * time.Second

// LimitFraction is this VM's part of every limit: one over the number of members that it
// has seen within PartHold. It shrinks at once and grows late.
//
// As long as VMs miss each other by mistake for less than PartHold, and each VM is
// seen by the others before it owns flows, the parts of all owners add up to 1 at
// most. Owners that began to own flows sooner add their own parts, no more. Cut
// into sides that can't reach each other, each side adds up to 1 at most, as it
// must to go on alone. Limits are rounded up, so that the sum over n owners exceeds
// a limit by n-1 at most besides.
//
// The zero LimitFraction is that of a VM on its own.
type LimitFraction struct {
	// members holds each member once.
	members []memberRecord
}

// memberRecord is a member that was seen until a time.
type memberRecord struct {
	member lhflow.MemberID
	// missingSince is when the member was missing first; meaningless while present.
	missingSince time.Duration
	present      bool
}

// Update notes the members that may own flows now or soon.
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

// Value returns the part at now, from 0 to 1.
func (f *LimitFraction) Value(now time.Duration) float64 {
	members := 0
	for _, s := range f.members {
		if s.counts(now) {
			members++
		}
	}
	return 1 / float64(max(members, 1))
}

// markPresent notes that a member is present.
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
