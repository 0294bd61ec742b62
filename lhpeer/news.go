package lhpeer

import (
	"math/bits"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// newsPerMessage limits the changes that travel with one message.
	newsPerMessage = 8
	// newsFactor times the logarithm of the group's size is how often a member
	// passes on one change.
	newsFactor = 3
)

// news holds the changes that a member still passes on.
type news []rumour

// rumour is a change of one member's entry.
type rumour struct {
	id lhflow.MemberID
	// left is how many more messages carry it.
	left int
}

// add puts a change in, in place of an older one of the same member.
func (n *news) add(id lhflow.MemberID, times int) {
	for i := range *n {
		if (*n)[i].id == id {
			(*n)[i].left = times
			return
		}
	}
	*n = append(*n, rumour{id: id, left: times})
}

// take returns the changes for one message, those told least often first.
func (n *news) take(count int) []lhflow.MemberID {
	slices.SortStableFunc(*n, func(a, b rumour) int { return b.left - a.left })
	count = min(count, len(*n))
	ids := make([]lhflow.MemberID, 0, count)
	for i := range count {
		(*n)[i].left--
		ids = append(ids, (*n)[i].id)
	}
	*n = slices.DeleteFunc(*n, func(r rumour) bool { return r.left <= 0 })
	return ids
}

// tell passes on the entry of a member that has changed, to some members at once.
func (m *Membership) tell(id lhflow.MemberID) {
	m.news.add(id, newsFactor*bits.Len(uint(len(m.peers)+1)))
	m.burst = true
}

// pass passes on what another member has told. One that still learns the group
// has no news for it.
func (m *Membership) pass(id lhflow.MemberID) {
	if m.settled() {
		m.tell(id)
	}
}
