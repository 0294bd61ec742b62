package lhpeer

import (
	"slices"
	"time"
)

// take takes in a message that another member has sent or answered.
func (m *Membership) take(now time.Duration, msg Message) {
	m.highest = max(m.highest, msg.Revision.Number)
	if msg.From == m.self.ID {
		return
	}
	for _, e := range msg.Entries {
		m.merge(now, e)
	}
	p := m.find(msg.From)
	if p == nil {
		return
	}
	p.probed = 0
	p.received = p.received || msg.HandedOver
	m.compare(p, msg.Digest)
}

// merge takes in what another member says of one.
func (m *Membership) merge(now time.Duration, e Entry) {
	if e.ID == m.self.ID {
		m.accused(now, e)
		return
	}
	p := m.find(e.ID)
	if p == nil {
		m.insert(now, e)
		return
	}
	before := p.Entry
	if !p.merge(e) {
		return
	}
	m.dirty = true
	m.pass(p.ID)
	if p.final() {
		p.ended = now
		return
	}
	m.doubt(now, p, before)
}

// doubt takes in a suspicion, or its refutation, that another member passed on.
func (m *Membership) doubt(now time.Duration, p *peer, before Entry) {
	if p.Health == before.Health && p.Refutation == before.Refutation {
		return
	}
	p.probed = 0
	if p.unreachable {
		m.counts.Returns++
		p.unreachable = false
	}
	if p.Health != Suspect {
		return
	}
	p.suspected = now
	if m.rng.IntN(len(m.peers)) < fanout {
		m.checks = append(m.checks, p.ID)
	}
}

// insert adds a member that was not known. Of two runs of the process at one
// address only the later is alive.
func (m *Membership) insert(now time.Duration, e Entry) {
	p := &peer{Entry: e, suspected: now, ended: now}
	m.peers = slices.Insert(m.peers, m.search(e.ID), p)
	m.dirty = true
	m.pass(e.ID)
	for _, q := range m.peers {
		if q.Control != e.Control || q == p {
			continue
		}
		if q.ID < p.ID {
			m.bury(now, q)
		} else {
			m.bury(now, p)
		}
	}
}
