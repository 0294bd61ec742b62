package lhpeer

import (
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Membership is what one member knows of its group and what it decides from
// that. It is not safe for concurrent use. Times are of the VM's monotonic clock.
type Membership struct {
	timing Timing
	rng    *rand.Rand
	// self is this member's own entry; nobody else's word changes its state.
	self Entry
	// peers is sorted by ID and does not hold self.
	peers []*peer
	// contacts holds addresses at which members may answer, never the own one.
	contacts []contact
	// ring holds the members still to be pinged in this round, in random order.
	ring []lhflow.MemberID
	news news
	// revision is the highest that this VM has had in force.
	revision Revision
	// highest is the highest revision that any member has spoken of.
	highest uint64
	counts  Counts

	// started is when the member began to join.
	started  time.Duration
	lastTick time.Duration
	nextPing time.Duration
	// pings counts regular exchanges, so that rarer ones take every so many.
	pings uint64
	// burst asks for exchanges before the next regular one, from nextBurst on.
	burst     bool
	nextBurst time.Duration
	// checks are members that others suspect, to be told of it by this one.
	checks []lhflow.MemberID

	// met is set once this member's digest agreed with that of any other.
	met bool
	// agreed is set once it agreed with that of a member that owns flows.
	agreed bool
	// apart grows with exchanges whose digests differ, and shrinks with the others.
	apart int
	// cursor is where the next page of entries begins.
	cursor lhflow.MemberID

	// pausedUntil is how long after a pause of the process a suspicion means
	// that the others have gone on without it.
	pausedUntil time.Duration
	lost        bool

	// dirty is set when view may no longer match self and peers.
	dirty bool
	view  *lhflow.View
	// version is that of view.
	version uint64
}

// Join returns the membership of a member that begins to join a group through
// contacts, the control addresses of some of its members. Without any contact
// it forms a group of its own.
func Join(now time.Duration, self lhflow.Member, contacts []netip.AddrPort, timing Timing, rng *rand.Rand) *Membership {
	self.State = lhflow.Joining
	m := &Membership{
		timing:   timing.filled(),
		rng:      rng,
		self:     Entry{Member: self},
		started:  now,
		lastTick: now,
		nextPing: now,
		dirty:    true,
	}
	m.Listed(contacts)
	m.tell(self.ID)
	m.refresh()
	return m
}

// Rejoin returns the membership of a member that was lost and begins to join
// again under a new ID. It keeps what it knows of the others, so that its view
// still names the owners of flows. A member that was leaving does not come back.
func (m *Membership) Rejoin(now time.Duration, id lhflow.MemberID) *Membership {
	self := m.self.Member
	self.ID = id
	var contacts []netip.AddrPort
	for _, c := range m.contacts {
		contacts = append(contacts, c.control)
	}
	next := Join(now, self, contacts, m.timing, m.rng)
	next.version = m.version
	for _, p := range m.peers {
		next.merge(now, p.Entry)
		if p.final() || p.unreachable {
			continue
		}
		next.Listed([]netip.AddrPort{p.Control})
	}
	if m.self.State >= lhflow.Leaving {
		next.Leave()
	}
	next.refresh()
	return next
}

// Tick takes the decisions that are due at now and returns the requests to send.
// It is to be called several times a period.
func (m *Membership) Tick(now time.Duration) []Request {
	m.notePause(now)
	if m.lost {
		return nil
	}
	m.expire(now)
	m.advance(now)
	requests := m.regular(now)
	requests = append(requests, m.urgent(now)...)
	m.refresh()
	return requests
}

// Receive takes in a message from another member and returns the answer. Where
// the message asks for a probe, the answer is to wait for that request: set its
// Reached if the target answers.
func (m *Membership) Receive(now time.Duration, msg Message) (Message, *Request) {
	m.take(now, msg)
	reply := m.message(msg.From)
	if msg.To == 0 || m.find(msg.From) == nil {
		reply.Entries = append(reply.Entries, m.self)
	}
	if msg.Sync {
		reply.Sync = true
		page, after := m.page(msg.After)
		reply.Entries = append(reply.Entries, page...)
		reply.After = after
	}
	m.refresh()
	target := m.find(msg.Target)
	if target == nil {
		return reply, nil
	}
	probe := m.request(target)
	return reply, &probe
}

// Answered takes in the answer to a request of this member.
func (m *Membership) Answered(now time.Duration, r Request, reply Message) {
	if c := m.contact(r.Control); c != nil {
		c.answered = true
	}
	if r.To != 0 && reply.From != r.To {
		m.replaced(now, r.To)
	}
	m.take(now, reply)
	if reply.Sync {
		m.cursor = reply.After
	}
	if target := m.find(r.Message.Target); target != nil && reply.Reached {
		target.probed = 0
	}
	m.refresh()
}

// Failed takes in that a request got no answer and returns the requests to send
// before the member that it went to is suspected.
func (m *Membership) Failed(now time.Duration, r Request) []Request {
	m.counts.Failures++
	p := m.find(r.To)
	if p == nil || !r.Heartbeat {
		return nil
	}
	if p.final() || p.Health == Suspect || p.probed != 0 {
		return nil
	}
	p.probed = now + m.timing.Probe
	return m.probes(p)
}

// HandedOver takes in that another member has handed over to this one. It
// reports false where that member is not known yet; it then has to say so again.
func (m *Membership) HandedOver(from lhflow.MemberID) bool {
	p := m.find(from)
	if p == nil {
		return false
	}
	p.received = true
	return true
}

// Released notes that this member has handed over to another.
func (m *Membership) Released(to lhflow.MemberID) {
	if p := m.find(to); p != nil {
		p.released = true
	}
}

// Leave begins a planned stop. The member owns its flows until Left; one that
// still joins owns none and is gone at once.
func (m *Membership) Leave() {
	switch m.self.State {
	case lhflow.Joining:
		m.move(lhflow.Gone)
	case lhflow.Active:
		m.move(lhflow.Leaving)
	}
}

// Left ends a planned stop: the member has handed over and owns nothing.
func (m *Membership) Left() {
	if m.self.State < lhflow.Gone {
		m.move(lhflow.Gone)
	}
}

// Unreleased returns the joining members that this one has not handed over to,
// once it owns flows itself.
func (m *Membership) Unreleased() []lhflow.MemberID {
	if m.self.State != lhflow.Active && m.self.State != lhflow.Leaving {
		return nil
	}
	var ids []lhflow.MemberID
	for _, p := range m.peers {
		if p.present() && p.State == lhflow.Joining && !p.released {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// Farewell returns requests that tell some members of this member's state.
func (m *Membership) Farewell() []Request {
	m.tell(m.self.ID)
	m.nextBurst = 0
	return m.urgent(m.lastTick)
}

// SetRevision notes the configuration that this VM has in force and spreads
// it. A lower number is ignored.
func (m *Membership) SetRevision(r Revision) {
	if r.Number <= m.revision.Number {
		return
	}
	m.revision = r
	m.burst = true
}

// Lost reports whether the others have gone on without this member, after a
// pause or because they hold it dead. It has to join again under a new ID.
func (m *Membership) Lost() bool { return m.lost }

// Self returns this member's own entry.
func (m *Membership) Self() Entry { return m.self }

// Counts returns what this member has counted since it joined.
func (m *Membership) Counts() Counts { return m.counts }

// Peers returns the entries of all other members, the dead ones included.
func (m *Membership) Peers() []Entry {
	entries := make([]Entry, 0, len(m.peers))
	for _, p := range m.peers {
		entries = append(entries, p.Entry)
	}
	return entries
}

// move takes this member's own state forwards and tells the others.
func (m *Membership) move(s lhflow.MemberState) {
	m.self.State = s
	m.tell(m.self.ID)
	m.dirty = true
	m.refresh()
}

// find returns the peer with the given ID, nil where there is none.
func (m *Membership) find(id lhflow.MemberID) *peer {
	i := m.search(id)
	if i == len(m.peers) || m.peers[i].ID != id {
		return nil
	}
	return m.peers[i]
}

// search returns the index of the first peer whose ID is not below id.
func (m *Membership) search(id lhflow.MemberID) int {
	return sort.Search(len(m.peers), func(i int) bool { return m.peers[i].ID >= id })
}
