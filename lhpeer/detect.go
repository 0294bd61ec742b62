package lhpeer

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// indirectProbes is how many other members probe one that does not answer.
	indirectProbes = 2
	// pauseGracePeriods is for how many periods after a pause a suspicion is
	// attributed to it, beyond Timing.Suspect.
	pauseGracePeriods = 5
)

// detectPause detects whether the process has paused for so long that other members
// may have removed it from their views.
func (m *Membership) detectPause(now time.Duration) {
	if now-m.lastTick >= m.timing.Suspect {
		m.pauseGraceUntil = now + m.timing.Suspect + pauseGracePeriods*m.timing.Period
		m.urgent = true
	}
	m.lastTick = now
}

// expirePeers applies the timeouts of the other members.
func (m *Membership) expirePeers(now time.Duration) {
	kept := m.peers[:0]
	for _, p := range m.peers {
		m.expirePeer(now, p)
		if p.final() && now-p.finalAt >= m.timing.Forget {
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
	if p.probeDeadline != 0 && now >= p.probeDeadline {
		m.suspect(now, p)
	}
	if p.Health != Suspect {
		return
	}
	if !p.unreachable && now-p.suspectedAt >= m.timing.Suspect {
		p.unreachable = true
		p.deadTimerStart = now
		m.counts.Unreachable++
		m.viewStale = true
	}
	if p.unreachable {
		m.maybeDeclareDead(now, p)
	}
}

// suspect marks a member that did not answer as suspect.
func (m *Membership) suspect(now time.Duration, p *peer) {
	p.probeDeadline = 0
	if p.Health != Alive {
		return
	}
	p.Health = Suspect
	p.suspectedAt = now
	m.counts.Suspicions++
	m.broadcast(p.ID)
}

// maybeDeclareDead declares an unreachable member dead once that is safe. If no
// member of its data centre is reachable, or this VM does not reach a majority, a
// network partition is as likely as a failure, and the member keeps its identity.
func (m *Membership) maybeDeclareDead(now time.Duration, p *peer) {
	if !m.hasMajority() || !m.reachesDataCentre(p.DataCentre) {
		p.deadTimerStart = now
	}
	if now-p.deadTimerStart < m.timing.Dead && now-p.suspectedAt < m.timing.Forget {
		return
	}
	m.declareDead(now, p)
}

// declareDead marks a member as dead.
func (m *Membership) declareDead(now time.Duration, p *peer) {
	if p.final() {
		return
	}
	p.Health = Dead
	p.finalAt = now
	m.counts.Deaths++
	m.viewStale = true
	m.broadcast(p.ID)
}

// handleReplaced handles a reply by another run of the process at the address of a
// member.
func (m *Membership) handleReplaced(now time.Duration, id lhflow.MemberID) {
	if p := m.find(id); p != nil {
		m.declareDead(now, p)
	}
}

// hasMajority reports whether more than half of the members are in this VM's view.
func (m *Membership) hasMajority() bool {
	all, present := 1, 1
	for _, p := range m.peers {
		if p.final() {
			continue
		}
		all++
		if p.inView() {
			present++
		}
	}
	return 2*present > all
}

// reachesDataCentre reports whether this VM's view contains a member of a data
// centre.
func (m *Membership) reachesDataCentre(dataCentre string) bool {
	if dataCentre == m.self.DataCentre {
		return true
	}
	for _, p := range m.peers {
		if p.inView() && p.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// mergeSelf handles an entry about this member received from another. It refutes a
// suspicion, or marks this member as evicted if the group has excluded it.
func (m *Membership) mergeSelf(now time.Duration, e Entry) {
	if e.final() && m.self.State != lhflow.Gone {
		m.evicted = true
		return
	}
	if e.Health != Suspect || e.Refutation < m.self.Refutation {
		return
	}
	if now < m.pauseGraceUntil {
		m.evicted = true
		return
	}
	m.self.Refutation = e.Refutation + 1
	m.counts.Refutations++
	m.broadcast(m.self.ID)
}

// probeRequests returns a second direct request to a member and requests to other
// members to probe it. One of these is in the member's own data centre if possible.
func (m *Membership) probeRequests(p *peer) []Request {
	requests := []Request{m.request(p)}
	chosen := m.sample(1, func(q *peer) bool { return q != p && q.DataCentre == p.DataCentre })
	rest := m.sample(indirectProbes-len(chosen), func(q *peer) bool {
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

// sample returns up to count random members of this VM's view that satisfy want.
func (m *Membership) sample(count int, want func(*peer) bool) []*peer {
	var found []*peer
	if count <= 0 || len(m.peers) == 0 {
		return nil
	}
	for _, i := range m.rng.Perm(len(m.peers)) {
		p := m.peers[i]
		if !p.inView() || !want(p) {
			continue
		}
		found = append(found, p)
		if len(found) == count {
			break
		}
	}
	return found
}
