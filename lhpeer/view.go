package lhpeer

import (
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Absence is a member that can't be reached but may come back.
type Absence struct {
	lhflow.Member
	// Since is when it was first suspected.
	Since time.Duration
}

// View returns the group as this member sees it. The pointer changes only with
// the content.
func (m *Membership) View() *lhflow.View { return m.view }

// Unreachable returns the members that can't be reached, sorted by ID. Flows
// whose owners are among them may still exist there.
func (m *Membership) Unreachable() []Absence {
	var absent []Absence
	for _, p := range m.peers {
		if p.unreachable && !p.final() {
			absent = append(absent, Absence{Member: p.Member, Since: p.suspected})
		}
	}
	return absent
}

// refresh builds a new view if the members or their states have changed.
func (m *Membership) refresh() {
	if !m.dirty {
		return
	}
	m.dirty = false
	members := []lhflow.Member{m.self.Member}
	for _, p := range m.peers {
		if p.present() {
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
