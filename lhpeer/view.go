package lhpeer

import (
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// UnreachableMember is a member that cannot be reached but may return.
type UnreachableMember struct {
	lhflow.Member
	// Since is when the current suspicion began.
	Since time.Duration
}

// View returns the group as seen by this member. The pointer changes only if the
// content does.
func (m *Membership) View() *lhflow.View { return m.view }

// Unreachable returns the unreachable members, sorted by ID. They may still hold
// the flows that they owned.
func (m *Membership) Unreachable() []UnreachableMember {
	var unreachable []UnreachableMember
	for _, p := range m.peers {
		if p.unreachable && !p.final() {
			unreachable = append(unreachable, UnreachableMember{Member: p.Member, Since: p.suspectedAt})
		}
	}
	return unreachable
}

// updateView builds a new view if the members or their states have changed.
func (m *Membership) updateView() {
	if !m.viewStale {
		return
	}
	m.viewStale = false
	members := []lhflow.Member{m.self.Member}
	for _, p := range m.peers {
		if p.inView() {
			members = append(members, p.Member)
		}
	}
	next := lhflow.NewView(m.version+1, m.self.ID, members)
	if m.view != nil && slices.Equal(m.view.Members, next.Members) {
		return
	}
	m.version++
	m.view = next
	m.counts.Views++
}
