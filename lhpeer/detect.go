package lhpeer

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// probers is how many other members probe one that does not answer.
	probers = 2
	// pauseGrace is how many periods after a pause a suspicion counts as its effect.
	pauseGrace = 5
)

// notePause finds out whether the process has stood still for so long that the
// others may have dropped it from the owners.
func (m *Membership) notePause(now time.Duration) {
	if now-m.lastTick >= m.timing.Suspect {
		m.pausedUntil = now + m.timing.Suspect + pauseGrace*m.timing.Period
		m.burst = true
	}
	m.lastTick = now
}

// expire carries out what has become due for other members.
func (m *Membership) expire(now time.Duration) {
	kept := m.peers[:0]
	for _, p := range m.peers {
		m.expirePeer(now, p)
		if p.final() && now-p.ended >= m.timing.Forget {
			continue
		}
		kept = append(kept, p)
	}
	clear(m.peers[len(kept):])
	m.peers = kept
}

func (m *Membership) expirePeer(now time.Duration, p *peer) {
	if p.final() {
		return
	}
	if p.probed != 0 && now >= p.probed {
		m.suspect(now, p)
	}
	if p.Health != Suspect {
		return
	}
	if !p.unreachable && now-p.suspected >= m.timing.Suspect {
		p.unreachable = true
		p.confirmed = now
		m.counts.Unreachable++
		m.dirty = true
	}
	if p.unreachable {
		m.confirm(now, p)
	}
}

// suspect raises a suspicion against a member that did not answer.
func (m *Membership) suspect(now time.Duration, p *peer) {
	p.probed = 0
	if p.Health != Alive {
		return
	}
	p.Health = Suspect
	p.suspected = now
	m.counts.Suspicions++
	m.tell(p.ID)
}

// confirm declares an unreachable member dead once that is safe. Where its data
// centre is silent as a whole, or this VM hears from no majority, a cut is as
// likely, and the member keeps its identity.
func (m *Membership) confirm(now time.Duration, p *peer) {
	if !m.majority() || !m.hears(p.DataCentre) {
		p.confirmed = now
	}
	if now-p.confirmed < m.timing.Dead && now-p.suspected < m.timing.Forget {
		return
	}
	m.bury(now, p)
}

// bury declares a member dead.
func (m *Membership) bury(now time.Duration, p *peer) {
	if p.final() {
		return
	}
	p.Health = Dead
	p.ended = now
	m.counts.Deaths++
	m.dirty = true
	m.tell(p.ID)
}

// replaced takes in that another run of the process answers at a member's address.
func (m *Membership) replaced(now time.Duration, id lhflow.MemberID) {
	if p := m.find(id); p != nil {
		m.bury(now, p)
	}
}

// majority reports whether more than half of the members are in this VM's view.
func (m *Membership) majority() bool {
	all, present := 1, 1
	for _, p := range m.peers {
		if p.final() {
			continue
		}
		all++
		if p.present() {
			present++
		}
	}
	return 2*present > all
}

// hears reports whether a member of a data centre is in this VM's view.
func (m *Membership) hears(dataCentre string) bool {
	if dataCentre == m.self.DataCentre {
		return true
	}
	for _, p := range m.peers {
		if p.present() && p.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// accused takes in what others say of this member itself.
func (m *Membership) accused(now time.Duration, e Entry) {
	if e.final() && m.self.State != lhflow.Gone {
		m.lost = true
		return
	}
	if e.Health != Suspect || e.Refutation < m.self.Refutation {
		return
	}
	if now < m.pausedUntil {
		m.lost = true
		return
	}
	m.self.Refutation = e.Refutation + 1
	m.counts.Refutations++
	m.tell(m.self.ID)
}

// probes returns a second direct request to a member and requests to others to
// probe it, if possible one in the member's own data centre.
func (m *Membership) probes(p *peer) []Request {
	requests := []Request{m.request(p)}
	chosen := m.sample(1, func(q *peer) bool { return q != p && q.DataCentre == p.DataCentre })
	rest := m.sample(probers-len(chosen), func(q *peer) bool {
		return q != p && (len(chosen) == 0 || q != chosen[0])
	})
	for _, q := range append(chosen, rest...) {
		r := m.request(q)
		r.Message.Target = p.ID
		requests = append(requests, r)
		m.counts.Probes++
	}
	return requests
}

// sample returns up to count random members that are present and fulfil want.
func (m *Membership) sample(count int, want func(*peer) bool) []*peer {
	var found []*peer
	if count <= 0 || len(m.peers) == 0 {
		return nil
	}
	for _, i := range m.rng.Perm(len(m.peers)) {
		p := m.peers[i]
		if !p.present() || !want(p) {
			continue
		}
		found = append(found, p)
		if len(found) == count {
			break
		}
	}
	return found
}
