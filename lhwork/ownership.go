package lhwork

import (
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// identitySkew is how far the clock of a caller that mints identities may be off.
const identitySkew = 2 * time.Second

// ownership says who owns identities, now and before. It is never changed.
type ownership struct {
	self lhflow.MemberID
	// owners are the members that own identities, with the lost ones.
	owners []lhflow.MemberID
	// lost are the members that this VM can't reach.
	lost []lhflow.MemberID
	// met are the members that knew this VM as an owner while both could reach each
	// other: what they run while they are lost leaves out what this VM owns.
	met []lhflow.MemberID
	// since is when this ownership came into force; 0 for the first.
	since time.Duration
	// before is the one in force until then; nil where no identity of it can
	// still be repeated.
	before *ownership
}

// newOwnership returns the ownership of a view that follows before.
func newOwnership(now time.Duration, view *lhflow.View, lost []lhflow.MemberID, before *ownership) *ownership {
	o := &ownership{
		self:   view.Self,
		lost:   slices.Clone(lost),
		met:    before.metBy(now),
		since:  now,
		before: before.recent(now),
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

// vouches reports whether no VM but this one can have run the unit since it was
// minted.
func (o *ownership) vouches(now time.Duration, u Unit) bool {
	if o == nil {
		return true
	}
	id := IdentityID(u.Identity)
	if !o.mine(id) {
		return false
	}
	for ; o.before != nil || o.since != 0; o = o.before {
		certain := o.since + PartHold + identitySkew
		if now >= certain+RetryHorizon || u.Minted >= certain {
			return true
		}
		if o.before == nil || !o.before.mine(id) {
			return false
		}
	}
	return true
}

// mine reports whether this VM owns the identity and no other can take itself for
// the owner, as far as this VM knows.
func (o *ownership) mine(id lhflow.ID) bool { return o.owner(id) == o.self && !o.strangerLost() }

// strangerLost reports whether a lost member may not know this VM as an owner. Its
// side may then take another VM for the owner of what this VM owns.
func (o *ownership) strangerLost() bool {
	for _, m := range o.lost {
		if !slices.Contains(o.met, m) {
			return true
		}
	}
	return false
}

// metBy returns the members that have met this VM as an owner by now.
func (o *ownership) metBy(now time.Duration) []lhflow.MemberID {
	if o == nil {
		return nil
	}
	if now-o.since < PartHold || !slices.Contains(o.owners, o.self) {
		return o.met
	}
	met := slices.Clone(o.met)
	for _, m := range o.owners {
		if !slices.Contains(o.lost, m) && !slices.Contains(met, m) {
			met = append(met, m)
		}
	}
	return met
}

// owner returns the first member in rendezvous order.
func (o *ownership) owner(id lhflow.ID) lhflow.MemberID {
	var best lhflow.MemberID
	var high uint64
	for _, m := range o.owners {
		if r := lhflow.Rank(id, uint64(m)); best == 0 || r > high {
			best, high = m, r
		}
	}
	return best
}

// recent returns the ownership without those that no longer matter at now.
func (o *ownership) recent(now time.Duration) *ownership {
	if o == nil {
		return nil
	}
	kept := *o
	if now-o.since > PartHold+identitySkew+RetryHorizon {
		kept.before, kept.since = nil, 0
		return &kept
	}
	kept.before = o.before.recent(now)
	return &kept
}
