package lhpeer

import (
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// pageSize is how many entries one answer brings to a member that asks for all.
	pageSize = 16
	// apartStep is what an exchange with another digest adds to how far a member
	// is apart from its group; one with the same digest takes 1 away. From
	// apartLimit on, which changes on their way do not reach, it compares entries.
	apartStep  = 2
	apartLimit = 8
	apartMax   = 2 * apartLimit
)

// request returns a request to a member.
func (m *Membership) request(p *peer) Request {
	m.counts.Pings++
	r := Request{To: p.ID, Control: p.Control, Message: m.message(p.ID)}
	if !m.settled() {
		r.Message.Sync = true
		r.Message.After = m.cursor
	} else if m.apart >= apartLimit {
		r.Message.Sync = true
		r.Message.After = m.cursor
		page, _ := m.page(m.cursor)
		r.Message.Entries = append(r.Message.Entries, page...)
	}
	return r
}

// greeting returns a request to a contact, whoever answers there.
func (m *Membership) greeting(c *contact) Request {
	m.counts.Pings++
	msg := m.message(0)
	msg.Entries = append(msg.Entries, m.self)
	msg.Sync = !m.settled()
	msg.After = m.cursor
	return Request{Control: c.control, Message: msg}
}

// message returns what this member has to tell another.
func (m *Membership) message(to lhflow.MemberID) Message {
	msg := Message{From: m.self.ID, To: to, Digest: m.digest(), Revision: m.revision}
	p := m.find(to)
	if p != nil {
		msg.HandedOver = p.released
	}
	for _, id := range m.news.take(newsPerMessage) {
		if id == m.self.ID {
			msg.Entries = append(msg.Entries, m.self)
		} else if q := m.find(id); q != nil && q != p {
			msg.Entries = append(msg.Entries, q.Entry)
		}
	}
	// A member that is doubted hears of it from everyone who talks to it.
	if p != nil && p.Health != Alive {
		msg.Entries = append(msg.Entries, p.Entry)
	}
	return msg
}

// page returns entries with IDs above after, and where the next page begins.
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

// compare notes whether another member holds the same view.
func (m *Membership) compare(p *peer, digest uint64) {
	if digest != m.digest() {
		m.apart = min(m.apart+apartStep, apartMax)
		return
	}
	m.apart = max(m.apart-1, 0)
	m.met = true
	m.agreed = m.agreed || p.owner()
}

// digest returns a hash of the view that does not depend on the order of members.
func (m *Membership) digest() uint64 {
	own := peer{Entry: m.self}
	sum := own.mark()
	for _, p := range m.peers {
		sum += p.mark()
	}
	return sum
}
