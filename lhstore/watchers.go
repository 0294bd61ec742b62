package lhstore

import (
	"cmp"
	"slices"

	"github.com/dchest/siphash"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// WatchersPerDataCentre is how many VMs of each data centre watch the head key. With
// two, the undetected failure of one does not delay the others.
const WatchersPerDataCentre = 2

// SipHash keys for the choice of watchers. They need not be secret, as callers can't
// influence the choice.
const watchKey0, watchKey1 = 0x6865616477617463, 0x6865727368617368

// Watchers returns the members of a data centre that watch the head key, chosen by
// rendezvous hashing over the members of the view. VMs with different views may choose
// different watchers, which costs a few more calls or delays the detection of a change.
func Watchers(view *lhflow.View, dataCentre string) []lhflow.MemberID {
	hi, lo := siphash.Hash128(watchKey0, watchKey1, []byte(dataCentre))
	id := lhflow.ID{Hi: hi, Lo: lo}
	members := candidates(view, dataCentre)
	slices.SortFunc(members, func(a, b lhflow.MemberID) int {
		return cmp.Compare(lhflow.Rank(id, uint64(b)), lhflow.Rank(id, uint64(a)))
	})
	return members[:min(len(members), WatchersPerDataCentre)]
}

// Watches reports whether the view's own VM watches the head key. A VM that is missing
// from its own view always does.
func Watches(view *lhflow.View) bool {
	self, found := view.Member(view.Self)
	return !found || slices.Contains(Watchers(view, self.DataCentre), view.Self)
}

// candidates returns the active members of a data centre, or all of its members if
// fewer than WatchersPerDataCentre are active.
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
