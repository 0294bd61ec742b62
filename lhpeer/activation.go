package lhpeer

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// activate makes a joining member active once it may own flows.
func (m *Membership) activate(now time.Duration) {
	if m.self.State == lhflow.Joining && m.canActivate(now) {
		m.setState(lhflow.Active)
	}
}

// canActivate reports whether a joining member may own flows.
func (m *Membership) canActivate(now time.Duration) bool {
	if m.revision.Number == 0 && m.highestRevision > 0 {
		// Without the configuration that other members have, this one cannot serve
		// flows.
		return false
	}
	owners, present := 0, 0
	for _, p := range m.peers {
		if p.ownsFlows() {
			owners++
			if !p.handOverReceived {
				return false
			}
		}
		if p.inView() {
			present++
		}
	}
	if owners > 0 {
		return m.matchedOwner
	}
	if now-m.startedAt >= m.timing.ContactTimeout {
		return true
	}
	if !m.contactsAnswered() {
		return false
	}
	return present == 0 || m.matchedAny && now-m.startedAt >= m.timing.Settle
}

// contactsAnswered reports whether all contacts have answered.
func (m *Membership) contactsAnswered() bool {
	for _, c := range m.contacts {
		if !c.answered {
			return false
		}
	}
	return true
}

// synced reports whether the member knows its group.
func (m *Membership) synced() bool {
	return m.matchedOwner || m.self.State != lhflow.Joining
}
