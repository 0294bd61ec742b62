package lhpeer

import "time"

const (
	// fanout is how many members hear at once of a change that must not wait.
	fanout = 3
	// strangerEvery is how many periods pass between pings to members that are
	// unreachable, and contactEvery between those to contacts that are no member.
	strangerEvery = 4
	contactEvery  = 10
	// hurry is by how much a member shortens its period until it knows the group.
	hurry = 5
)

// regular returns the requests of a period, once it is due.
func (m *Membership) regular(now time.Duration) []Request {
	if now < m.nextPing {
		return nil
	}
	period := m.timing.Period
	if !m.settled() {
		period /= hurry
	}
	m.nextPing = now + period
	m.pings++
	var requests []Request
	if p := m.nextInRing(); p != nil {
		r := m.request(p)
		r.Heartbeat = true
		requests = append(requests, r)
	}
	if p := m.stranger(); p != nil {
		requests = append(requests, m.request(p))
	}
	if c := m.nextContact(); c != nil {
		requests = append(requests, m.greeting(c))
	}
	return requests
}

// urgent returns the requests that do not wait for the next period.
func (m *Membership) urgent(now time.Duration) []Request {
	if now < m.nextBurst || !m.burst && len(m.checks) == 0 {
		return nil
	}
	m.nextBurst = now + m.timing.Period/2
	var requests []Request
	if m.burst {
		for _, p := range m.sample(fanout, func(*peer) bool { return true }) {
			requests = append(requests, m.request(p))
		}
	}
	for _, id := range m.checks {
		if p := m.find(id); p != nil && p.Health == Suspect {
			requests = append(requests, m.request(p))
		}
	}
	m.burst = false
	m.checks = m.checks[:0]
	return requests
}

// nextInRing returns the next member to ping; each has its turn once in a round.
func (m *Membership) nextInRing() *peer {
	for range 2 {
		for len(m.ring) > 0 {
			p := m.find(m.ring[0])
			m.ring = m.ring[1:]
			if p != nil && p.present() {
				return p
			}
		}
		for _, i := range m.rng.Perm(len(m.peers)) {
			m.ring = append(m.ring, m.peers[i].ID)
		}
	}
	return nil
}

// stranger returns, every few periods, a member that has been unreachable.
func (m *Membership) stranger() *peer {
	if m.pings%strangerEvery != 0 {
		return nil
	}
	var found *peer
	seen := 0
	for _, p := range m.peers {
		if !p.unreachable || p.final() {
			continue
		}
		seen++
		if m.rng.IntN(seen) == 0 {
			found = p
		}
	}
	return found
}
