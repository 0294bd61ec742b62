package lhpeer

import (
	"slices"
	"time"
)

// applyMessage applies a request or reply from another member.
func (m *Membership) applyMessage(now time.Duration, msg Message) {
	m.highestRevision = max(m.highestRevision, msg.Revision.Number)
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
	p.probeDeadline = 0
	p.handOverReceived = p.handOverReceived || msg.HandedOver
	m.compareDigest(p, msg.Digest)
}

// merge merges an entry received from another member.
func (m *Membership) merge(now time.Duration, e Entry) {
	if e.ID == m.self.ID {
		m.mergeSelf(now, e)
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
	m.viewStale = true
	m.relay(p.ID)
	if p.final() {
		p.finalAt = now
		return
	}
	m.applySuspicion(now, p, before)
}

// applySuspicion handles a change of suspicion or refutation received from another
// member.
func (m *Membership) applySuspicion(now time.Duration, p *peer, before Entry) {
	if p.Health == before.Health && p.Refutation == before.Refutation {
		return
	}
	p.probeDeadline = 0
	if p.unreachable {
		m.counts.Returns++
		p.unreachable = false
	}
	if p.Health != Suspect {
		return
	}
	p.suspectedAt = now
	if m.rng.IntN(len(m.peers)) < fanout {
		m.suspectChecks = append(m.suspectChecks, p.ID)
	}
}

// insert adds a new member. Of two runs of the process at the same address, the one
// with the lower ID is declared dead.
func (m *Membership) insert(now time.Duration, e Entry) {
	p := &peer{Entry: e, suspectedAt: now, finalAt: now}
	m.peers = slices.Insert(m.peers, m.search(e.ID), p)
	m.viewStale = true
	m.relay(e.ID)
	for _, q := range m.peers {
		if q.Control != e.Control || q == p {
			continue
		}
		if q.ID < p.ID {
			m.declareDead(now, q)
		} else {
			m.declareDead(now, p)
		}
	}
}
