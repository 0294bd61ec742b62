package lhpeer

import "time"

const (
	// fanout is the number of members that receive an urgent change immediately.
	fanout = 3
	// unreachableEvery is the number of periods between pings to unreachable
	// members; contactEvery is the number between pings to contacts that are not
	// members.
	unreachableEvery = 4
	contactEvery     = 10
	// joinSpeedup is the factor by which the period is shortened until the member
	// knows the group.
	joinSpeedup = 5
)

// periodicRequests returns the requests of a period if it is due.
func (m *Membership) periodicRequests(now time.Duration) []Request {
	if now < m.nextPing {
		return nil
	}
	period := m.timing.Period
	if !m.synced() {
		period /= joinSpeedup
	}
	m.nextPing = now + period
	m.pings++
	var requests []Request
	if p := m.nextPingTarget(); p != nil {
		r := m.request(p)
		r.Heartbeat = true
		requests = append(requests, r)
	}
	if p := m.unreachableTarget(); p != nil {
		requests = append(requests, m.request(p))
	}
	if c := m.nextContact(); c != nil {
		requests = append(requests, m.contactRequest(c))
	}
	return requests
}

// urgentRequests returns the requests that do not wait for the next period.
func (m *Membership) urgentRequests(now time.Duration) []Request {
	if now < m.nextUrgent || !m.urgent && len(m.suspectChecks) == 0 {
		return nil
	}
	m.nextUrgent = now + m.timing.Period/2
	var requests []Request
	if m.urgent {
		for _, p := range m.sample(fanout, func(*peer) bool { return true }) {
			requests = append(requests, m.request(p))
		}
	}
	for _, id := range m.suspectChecks {
		if p := m.find(id); p != nil && p.Health == Suspect {
			requests = append(requests, m.request(p))
		}
	}
	m.urgent = false
	m.suspectChecks = m.suspectChecks[:0]
	return requests
}

// nextPingTarget returns the next member to ping; each member is pinged once per
// round.
func (m *Membership) nextPingTarget() *peer {
	for range 2 {
		for len(m.pingOrder) > 0 {
			p := m.find(m.pingOrder[0])
			m.pingOrder = m.pingOrder[1:]
			if p != nil && p.inView() {
				return p
			}
		}
		for _, i := range m.rng.Perm(len(m.peers)) {
			m.pingOrder = append(m.pingOrder, m.peers[i].ID)
		}
	}
	return nil
}

// unreachableTarget returns a random unreachable member every unreachableEvery
// periods, otherwise nil.
func (m *Membership) unreachableTarget() *peer {
	if m.pings%unreachableEvery != 0 {
		return nil
	}
	var found *peer
	candidates := 0
	for _, p := range m.peers {
		if !p.unreachable || p.final() {
			continue
		}
		candidates++
		if m.rng.IntN(candidates) == 0 {
			found = p
		}
	}
	return found
}
