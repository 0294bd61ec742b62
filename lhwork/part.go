package lhwork

import "time"

// PartHold is how long a VM keeps a part small after it has seen the group
// shrink. It must be longer than the time in which a change of membership reaches
// all VMs that can reach each other.
const PartHold = 5 * time.Second

// Part is this VM's part of every limit: one over the largest number of members
// that it has seen within PartHold. It shrinks at once and grows late.
//
// While VMs can reach each other, and a joining VM is announced before it owns
// flows for as long as a change takes to reach all, the parts of all owners add
// up to 1 at most. Owners that began to own flows sooner than that add their own
// parts, no more. Cut into sides that can't reach each other, each side adds up to
// 1 at most, as it must to go on alone. Limits are rounded up, so that the sum
// over n owners exceeds a limit by n-1 at most besides.
//
// The zero Part is that of a VM on its own.
type Part struct {
	// seen holds the numbers of members seen within PartHold. Numbers fall from
	// the first entry to the last: an entry smaller than a later one never counts.
	seen []sighting
}

// sighting is a number of members that was true until a time.
type sighting struct {
	members int
	// until is when the number stopped being true; 0 for the latest one.
	until time.Duration
}

// See notes the number of members that may own flows now or soon.
func (p *Part) See(now time.Duration, members int) {
	if n := len(p.seen); n > 0 && p.seen[n-1].until == 0 {
		p.seen[n-1].until = max(now, 1)
	}
	for n := len(p.seen); n > 0 && p.seen[n-1].members <= members; n-- {
		p.seen = p.seen[:n-1]
	}
	p.seen = append(p.seen, sighting{members: members})
	for len(p.seen) > 1 && now-p.seen[0].until > PartHold {
		p.seen = p.seen[1:]
	}
}

// Fraction returns the part at now, from 0 to 1.
func (p *Part) Fraction(now time.Duration) float64 {
	for _, s := range p.seen {
		if s.until == 0 || now-s.until <= PartHold {
			return 1 / float64(max(s.members, 1))
		}
	}
	return 1
}
