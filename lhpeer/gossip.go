package lhpeer

import (
	"math/bits"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// updatesPerMessage is the maximum number of queued updates in one message.
	updatesPerMessage = 8
	// retransmitFactor times the logarithm of the group size is the number of
	// messages in which a member sends one update.
	retransmitFactor = 3
)

// gossipQueue holds the membership updates that a member still sends.
type gossipQueue []update

// update is a changed entry that is queued for sending.
type update struct {
	id lhflow.MemberID
	// remaining is the number of messages that still include the update.
	remaining int
}

// add queues an update and replaces the member's earlier one.
func (n *gossipQueue) add(id lhflow.MemberID, times int) {
	for i := range *n {
		if (*n)[i].id == id {
			(*n)[i].remaining = times
			return
		}
	}
	*n = append(*n, update{id: id, remaining: times})
}

// next returns the updates for one message, those with the most transmissions
// remaining first.
func (n *gossipQueue) next(count int) []lhflow.MemberID {
	slices.SortStableFunc(*n, func(a, b update) int { return b.remaining - a.remaining })
	count = min(count, len(*n))
	ids := make([]lhflow.MemberID, 0, count)
	for i := range count {
		(*n)[i].remaining--
		ids = append(ids, (*n)[i].id)
	}
	*n = slices.DeleteFunc(*n, func(r update) bool { return r.remaining <= 0 })
	return ids
}

// broadcast queues the changed entry of a member and requests an urgent exchange.
func (m *Membership) broadcast(id lhflow.MemberID) {
	m.gossip.add(id, retransmitFactor*bits.Len(uint(len(m.peers)+1)))
	m.urgent = true
}

// relay queues a change received from another member. A member that is still
// learning the group relays nothing.
func (m *Membership) relay(id lhflow.MemberID) {
	if m.synced() {
		m.broadcast(id)
	}
}
