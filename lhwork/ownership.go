package lhwork

import (
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// callerClockSkew is the tolerated clock error of a caller that issues idempotency
// keys.
const callerClockSkew = 2 * time.Second

// ownership holds the current and previous owners of idempotency keys. It is
// immutable.
type ownership struct {
	self lhflow.MemberID
	// owners are the members that own keys, including lost ones.
	owners []lhflow.MemberID
	// lost are the members that this VM can't reach.
	lost []lhflow.MemberID
	// aware are the members that knew this VM as an owner while both could reach
	// each other: while they are lost, they run no unit whose key this VM owns.
	aware []lhflow.MemberID
	// since is when this ownership came into force; 0 for the first.
	since time.Duration
	// previous is the ownership in force until then; nil if no key issued under it
	// can still be repeated.
	previous *ownership
}

// newOwnership returns the ownership for a view that follows previous.
func newOwnership(now time.Duration, view *lhflow.View, lost []lhflow.MemberID, previous *ownership) *ownership {
	o := &ownership{
		self:     view.Self,
		lost:     slices.Clone(lost),
		aware:    previous.awareAt(now),
		since:    now,
		previous: previous.prune(now),
	}
	for _, m := range view.Members {
		if m.State == lhflow.Active || m.State == lhflow.Leaving {
			o.owners = append(o.owners, m.ID)
		}
	}
	for _, id := range lost {
		if !slices.Contains(o.owners, id) {
			o.owners = append(o.owners, id)
		}
	}
	return o
}

// exclusive reports whether no VM but this one can have run the unit since its key
// was issued.
func (o *ownership) exclusive(now time.Duration, u Unit) bool {
	if o == nil {
		return true
	}
	id := IdempotencyKeyID(u.IdempotencyKey)
	if !o.owns(id) {
		return false
	}
	for ; o.previous != nil || o.since != 0; o = o.previous {
		settled := o.since + MemberRetention + callerClockSkew
		if now >= settled+RetryWindow || u.IssuedAt >= settled {
			return true
		}
		if o.previous == nil || !o.previous.owns(id) {
			return false
		}
	}
	return true
}

// owns reports whether this VM owns the key and, as far as it knows, no other VM can
// consider itself the owner.
func (o *ownership) owns(id lhflow.ID) bool { return o.owner(id) == o.self && !o.unawareLost() }

// unawareLost reports whether a lost member may not know this VM as an owner. Its
// side of the partition may then consider another VM the owner of keys that this VM
// owns.
func (o *ownership) unawareLost() bool {
	for _, m := range o.lost {
		if !slices.Contains(o.aware, m) {
			return true
		}
	}
	return false
}

// awareAt returns the members that know this VM as an owner at now.
func (o *ownership) awareAt(now time.Duration) []lhflow.MemberID {
	if o == nil {
		return nil
	}
	if now-o.since < MemberRetention || !slices.Contains(o.owners, o.self) {
		return o.aware
	}
	aware := slices.Clone(o.aware)
	for _, m := range o.owners {
		if !slices.Contains(o.lost, m) && !slices.Contains(aware, m) {
			aware = append(aware, m)
		}
	}
	return aware
}

// owner returns the first member in rendezvous order.
func (o *ownership) owner(id lhflow.ID) lhflow.MemberID {
	var best lhflow.MemberID
	var highest uint64
	for _, m := range o.owners {
		if rank := lhflow.Rank(id, uint64(m)); best == 0 || rank > highest {
			best, highest = m, rank
		}
	}
	return best
}

// prune returns the ownership without the previous ones that no longer matter at
// now.
func (o *ownership) prune(now time.Duration) *ownership {
	if o == nil {
		return nil
	}
	pruned := *o
	if now-o.since > MemberRetention+callerClockSkew+RetryWindow {
		pruned.previous, pruned.since = nil, 0
		return &pruned
	}
	pruned.previous = o.previous.prune(now)
	return &pruned
}
