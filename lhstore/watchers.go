package lhstore

import (
	"cmp"
	"slices"

	"github.com/dchest/siphash"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// WatchersPerDataCentre is how many VMs of each data centre watch the head. With
// two, one may fail unnoticed without delay for the others.
const WatchersPerDataCentre = 2

// The keys of the hash that orders a data centre's members. They are no secret:
// callers have no part in the choice.
const watchKey0, watchKey1 = 0x6865616477617463, 0x6865727368617368

// Watchers returns the members of a data centre that watch the head, by
// rendezvous over those that a view holds. VMs with different views may choose
// differently, which costs a few calls more or a later notice.
func Watchers(view *lhflow.View, dataCentre string) []lhflow.MemberID {
	hi, lo := siphash.Hash128(watchKey0, watchKey1, []byte(dataCentre))
	id := lhflow.ID{Hi: hi, Lo: lo}
	members := candidates(view, dataCentre)
	slices.SortFunc(members, func(a, b lhflow.MemberID) int {
		return cmp.Compare(lhflow.Rank(id, uint64(b)), lhflow.Rank(id, uint64(a)))
	})
	return members[:min(len(members), WatchersPerDataCentre)]
}

// Watches reports whether the view's own VM watches the head. A VM that its view
// doesn't hold watches for itself.
func Watches(view *lhflow.View) bool {
	self, found := view.Member(view.Self)
	return !found || slices.Contains(Watchers(view, self.DataCentre), view.Self)
}

// candidates returns the active members of a data centre, or all where too few
// are active.
func candidates(view *lhflow.View, dataCentre string) []lhflow.MemberID {
	var all, active []lhflow.MemberID
	for _, m := range view.Members {
		if m.DataCentre != dataCentre {
			continue
		}
		all = append(all, m.ID)
		if m.State == lhflow.Active {
			active = append(active, m.ID)
		}
	}
	if len(active) < WatchersPerDataCentre {
		return all
	}
	return active
}
