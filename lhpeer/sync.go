package lhpeer

import (
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// pageSize is the number of other members' entries in one page of a full
	// synchronisation.
	pageSize = 16
	// divergenceStep is added to a member's divergence from the group by an
	// exchange with a different digest; an exchange with the same digest subtracts
	// 1. At divergenceLimit, which changes still in transit do not reach, the
	// member starts to synchronise entries.
	divergenceStep  = 2
	divergenceLimit = 8
	divergenceMax   = 2 * divergenceLimit
)

// request returns a request to a member. It starts or continues a synchronisation
// of entries if one is due.
func (m *Membership) request(p *peer) Request {
	m.counts.Pings++
	r := Request{To: p.ID, Control: p.Control, Message: m.message(p.ID)}
	if !m.synced() {
		r.Message.Sync = true
		r.Message.After = m.syncCursor
	} else if m.divergence >= divergenceLimit {
		r.Message.Sync = true
		r.Message.After = m.syncCursor
		page, _ := m.page(m.syncCursor)
		r.Message.Entries = append(r.Message.Entries, page...)
	}
	return r
}

// contactRequest returns a request to a contact whose member ID is unknown.
func (m *Membership) contactRequest(c *contact) Request {
	m.counts.Pings++
	msg := m.message(0)
	msg.Entries = append(msg.Entries, m.self)
	msg.Sync = !m.synced()
	msg.After = m.syncCursor
	return Request{Control: c.control, Message: msg}
}

// message returns a message with the updates for another member.
func (m *Membership) message(to lhflow.MemberID) Message {
	msg := Message{From: m.self.ID, To: to, Digest: m.digest(), Revision: m.revision}
	p := m.find(to)
	if p != nil {
		msg.HandedOver = p.handOverSent
	}
	for _, id := range m.gossip.next(updatesPerMessage) {
		if id == m.self.ID {
			msg.Entries = append(msg.Entries, m.self)
		} else if q := m.find(id); q != nil && q != p {
			msg.Entries = append(msg.Entries, q.Entry)
		}
	}
	// Each message to a suspected member includes the suspicion, so that it can
	// refute it.
	if p != nil && p.Health != Alive {
		msg.Entries = append(msg.Entries, p.Entry)
	}
	return msg
}

// page returns entries with IDs above after, and the position of the next page.
func (m *Membership) page(after lhflow.MemberID) ([]Entry, lhflow.MemberID) {
	first := m.search(after + 1)
	last := min(first+pageSize, len(m.peers))
	entries := make([]Entry, 0, pageSize)
	for _, p := range m.peers[first:last] {
		entries = append(entries, p.Entry)
	}
	if last == len(m.peers) {
		return append(entries, m.self), 0
	}
	return entries, m.peers[last-1].ID
}

// compareDigest compares the digest of another member with the own one.
func (m *Membership) compareDigest(p *peer, digest uint64) {
	if digest != m.digest() {
		m.divergence = min(m.divergence+divergenceStep, divergenceMax)
		return
	}
	m.divergence = max(m.divergence-1, 0)
	m.matchedAny = true
	m.matchedOwner = m.matchedOwner || p.ownsFlows()
}

// digest returns a hash of the view that is independent of the order of members.
func (m *Membership) digest() uint64 {
	own := peer{Entry: m.self}
	sum := own.digestTerm()
	for _, p := range m.peers {
		sum += p.digestTerm()
	}
	return sum
}
