package lhpeer

import (
	"math/bits"
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// newsPerMessage limits the changes that travel with one message.
	newsPerMessage = 8
	// newsFactor times the logarithm of the group's size is how often a member
	// passes on one change.
	newsFactor = 3
	// pageSize is how many entries one answer brings to a member that asks for all.
	pageSize = 16
	// fanout is how many members hear at once of a change that must not wait.
	fanout = 3
	// apartStep is what an exchange with another digest adds to how far a member
	// is apart from its group; one with the same digest takes 1 away. From
	// apartLimit on, which changes on their way do not reach, it compares entries.
	apartStep  = 2
	apartLimit = 8
	apartMax   = 2 * apartLimit
	// strangerEvery is how many periods pass between pings to members that are
	// unreachable, and contactEvery between those to contacts that are no member.
	strangerEvery = 4
	contactEvery  = 10
	// hurry is by how much a member shortens its period until it knows the group.
	hurry = 5
)

// news holds the changes that a member still passes on.
type news []rumour

// rumour is a change of one member's entry.
type rumour struct {
	id lhflow.MemberID
	// left is how many more messages carry it.
	left int
}

// add puts a change in, in place of an older one of the same member.
func (n *news) add(id lhflow.MemberID, times int) {
	for i := range *n {
		if (*n)[i].id == id {
			(*n)[i].left = times
			return
		}
	}
	*n = append(*n, rumour{id: id, left: times})
}

// take returns the changes for one message, those told least often first.
func (n *news) take(count int) []lhflow.MemberID {
	slices.SortStableFunc(*n, func(a, b rumour) int { return b.left - a.left })
	count = min(count, len(*n))
	ids := make([]lhflow.MemberID, 0, count)
	for i := range count {
		(*n)[i].left--
		ids = append(ids, (*n)[i].id)
	}
	*n = slices.DeleteFunc(*n, func(r rumour) bool { return r.left <= 0 })
	return ids
}

// tell passes on the entry of a member that has changed, to some members at once.
func (m *Membership) tell(id lhflow.MemberID) {
	m.news.add(id, newsFactor*bits.Len(uint(len(m.peers)+1)))
	m.burst = true
}

// pass passes on what another member has told. One that still learns the group
// has no news for it.
func (m *Membership) pass(id lhflow.MemberID) {
	if m.settled() {
		m.tell(id)
	}
}

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

// nextContact returns the contact to greet in this period, nil for none. While
// the member joins, it greets each contact until it answers; later only now and
// then those that are no known member, so that groups that grew apart meet.
func (m *Membership) nextContact() *contact {
	if len(m.contacts) == 0 {
		return nil
	}
	if m.self.State != lhflow.Joining && m.pings%contactEvery != 0 {
		return nil
	}
	for range m.contacts {
		c := m.contacts[0]
		m.contacts = append(m.contacts[1:], c)
		last := &m.contacts[len(m.contacts)-1]
		if m.self.State == lhflow.Joining && !c.answered {
			return last
		}
		if m.self.State != lhflow.Joining && !m.knows(c) {
			return last
		}
	}
	return nil
}

// knows reports whether a contact is the address of a member that is not final.
func (m *Membership) knows(c contact) bool {
	return slices.ContainsFunc(m.peers, func(p *peer) bool {
		return p.Control == c.control && !p.final()
	})
}

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
	p.heard = now
	p.probed = 0
	p.received = p.received || msg.HandedOver
	m.compare(p, msg.Digest)
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
