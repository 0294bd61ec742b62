package lhpeer

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// advance lets a joining member own flows as soon as it may.
func (m *Membership) advance(now time.Duration) {
	if m.self.State == lhflow.Joining && m.ready(now) {
		m.move(lhflow.Active)
	}
}

// ready reports whether a joining member may own flows.
func (m *Membership) ready(now time.Duration) bool {
	if m.revision.Number == 0 && m.highest > 0 {
		// Without the configuration that others have it could serve no flow.
		return false
	}
	owners, present := 0, 0
	for _, p := range m.peers {
		if p.owner() {
			owners++
			if !p.received {
				return false
			}
		}
		if p.present() {
			present++
		}
	}
	if owners > 0 {
		return m.agreed
	}
	if now-m.started >= m.timing.Alone {
		return true
	}
	if !m.answered() {
		return false
	}
	return present == 0 || m.met && now-m.started >= m.timing.Settle
}

// answered reports whether each contact has answered.
func (m *Membership) answered() bool {
	for _, c := range m.contacts {
		if !c.answered {
			return false
		}
	}
	return true
}

// settled reports whether the member knows its group.
func (m *Membership) settled() bool {
	return m.agreed || m.self.State != lhflow.Joining
}
