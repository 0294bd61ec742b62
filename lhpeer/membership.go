package lhpeer

import (
	"math/rand/v2"
	"net/netip"
	"sort"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Membership is the state that one member keeps about its group, and the decisions
// that follow from it. It is not safe for concurrent use. Times are those of the
// VM's monotonic clock.
type Membership struct {
	timing Timing
	rng    *rand.Rand
	// self is the entry of this member; messages from other members never change
	// its state.
	self Entry
	// peers is sorted by ID and does not contain self.
	peers []*peer
	// contacts holds the control addresses of possible members, without this
	// member's own.
	contacts []contact
	// pingOrder holds the members still to be pinged in this round, in random
	// order.
	pingOrder []lhflow.MemberID
	gossip    gossipQueue
	// revision is the highest revision that this VM has had in force.
	revision Revision
	// highestRevision is the highest revision that any member has reported.
	highestRevision uint64
	counts          Counts

	// startedAt is when the member started to join.
	startedAt time.Duration
	lastTick  time.Duration
	nextPing  time.Duration
	// pings counts the periods with regular exchanges. It schedules the exchanges
	// that run only once in several periods.
	pings uint64
	// urgent is set if exchanges are due before the next regular one. They are not
	// sent before nextUrgent.
	urgent     bool
	nextUrgent time.Duration
	// suspectChecks holds members that others suspect and that this member notifies
	// of the suspicion, so that they can refute it.
	suspectChecks []lhflow.MemberID

	// matchedAny is set once the digest of this member has equalled that of any
	// other.
	matchedAny bool
	// matchedOwner is set once it has equalled that of a member that owns flows.
	matchedOwner bool
	// divergence increases with exchanges whose digests differ and decreases with
	// exchanges whose digests match.
	divergence int
	// syncCursor is where the next page of entries begins.
	syncCursor lhflow.MemberID

	// pauseGraceUntil is the end of the time after a pause of the process in which
	// a suspicion means that the group has already excluded this member.
	pauseGraceUntil time.Duration
	evicted         bool

	// viewStale is set when view may no longer match self and peers.
	viewStale bool
	view      *lhflow.View
	// version is the version of view.
	version uint64
}

// Join returns the membership of a member that starts to join a group. The contacts
// are control addresses of some members of the group; without contacts the member
// forms a new group.
func Join(now time.Duration, self lhflow.Member, contacts []netip.AddrPort, timing Timing, rng *rand.Rand) *Membership {
	self.State = lhflow.Joining
	m := &Membership{
		timing:    timing.withDefaults(),
		rng:       rng,
		self:      Entry{Member: self},
		startedAt: now,
		lastTick:  now,
		nextPing:  now,
		viewStale: true,
	}
	m.AddContacts(contacts)
	m.broadcast(self.ID)
	m.updateView()
	return m
}

// Rejoin returns the membership of an evicted member that joins again under a new
// ID. It keeps the entries of the other members, so that its view still contains
// the owners of flows. A member that was leaving does not return to active.
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
		next.AddContacts([]netip.AddrPort{p.Control})
	}
	if m.self.State >= lhflow.Leaving {
		next.Leave()
	}
	next.updateView()
	return next
}

// Tick makes the decisions that are due at now and returns the requests to send.
// The caller runs it several times per period.
func (m *Membership) Tick(now time.Duration) []Request {
	m.detectPause(now)
	if m.evicted {
		return nil
	}
	m.expirePeers(now)
	m.activate(now)
	requests := m.periodicRequests(now)
	requests = append(requests, m.urgentRequests(now)...)
	m.updateView()
	return requests
}

// Receive handles a message from another member and returns the reply. If the
// message asks for a probe, Receive also returns the probe request; the caller
// sends it first and sets Reached in the reply if the target answers.
func (m *Membership) Receive(now time.Duration, msg Message) (Message, *Request) {
	m.applyMessage(now, msg)
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
	m.updateView()
	target := m.find(msg.Target)
	if target == nil {
		return reply, nil
	}
	probe := m.request(target)
	return reply, &probe
}

// HandleResponse handles the reply to a request of this member.
func (m *Membership) HandleResponse(now time.Duration, r Request, reply Message) {
	if c := m.contact(r.Control); c != nil {
		c.answered = true
	}
	if r.To != 0 && reply.From != r.To {
		m.handleReplaced(now, r.To)
	}
	m.applyMessage(now, reply)
	if reply.Sync {
		m.syncCursor = reply.After
	}
	if target := m.find(r.Message.Target); target != nil && reply.Reached {
		target.probeDeadline = 0
	}
	m.updateView()
}

// HandleFailure handles a request that got no reply. It returns the probe requests
// to send before the unresponsive member is suspected.
func (m *Membership) HandleFailure(now time.Duration, r Request) []Request {
	m.counts.Failures++
	p := m.find(r.To)
	if p == nil || !r.Heartbeat {
		return nil
	}
	if p.final() || p.Health == Suspect || p.probeDeadline != 0 {
		return nil
	}
	p.probeDeadline = now + m.timing.Probe
	return m.probeRequests(p)
}

// HandOverReceived records that another member has completed its hand-over to this
// one. It returns false if that member is not known yet; the sender then has to
// repeat the call.
func (m *Membership) HandOverReceived(from lhflow.MemberID) bool {
	p := m.find(from)
	if p == nil {
		return false
	}
	p.handOverReceived = true
	return true
}

// HandOverSent records that this member has completed its hand-over to another.
func (m *Membership) HandOverSent(to lhflow.MemberID) {
	if p := m.find(to); p != nil {
		p.handOverSent = true
	}
}

// Leave starts a planned stop. The member owns its flows until FinishLeave. A
// joining member owns no flows and is gone immediately.
func (m *Membership) Leave() {
	switch m.self.State {
	case lhflow.Joining:
		m.setState(lhflow.Gone)
	case lhflow.Active:
		m.setState(lhflow.Leaving)
	}
}

// FinishLeave ends a planned stop: the member has handed over its flows and owns
// none.
func (m *Membership) FinishLeave() {
	if m.self.State < lhflow.Gone {
		m.setState(lhflow.Gone)
	}
}

// PendingHandOvers returns the joining members to which this one has not completed
// its hand-over. It is empty unless this member owns flows.
func (m *Membership) PendingHandOvers() []lhflow.MemberID {
	if m.self.State != lhflow.Active && m.self.State != lhflow.Leaving {
		return nil
	}
	var ids []lhflow.MemberID
	for _, p := range m.peers {
		if p.inView() && p.State == lhflow.Joining && !p.handOverSent {
			ids = append(ids, p.ID)
		}
	}
	return ids
}

// Announce returns requests that send this member's state to some members
// immediately.
func (m *Membership) Announce() []Request {
	m.broadcast(m.self.ID)
	m.nextUrgent = 0
	return m.urgentRequests(m.lastTick)
}

// SetRevision records the configuration that this VM has in force and announces it.
// A revision that is not higher than the present one is ignored.
func (m *Membership) SetRevision(r Revision) {
	if r.Number <= m.revision.Number {
		return
	}
	m.revision = r
	m.urgent = true
}

// Evicted reports whether the group has excluded this member, because of a pause of
// the process or because others declared it dead. The member has to rejoin under a
// new ID.
func (m *Membership) Evicted() bool { return m.evicted }

// Self returns this member's entry.
func (m *Membership) Self() Entry { return m.self }

// Counts returns the counters of this member since it joined.
func (m *Membership) Counts() Counts { return m.counts }

// Peers returns the entries of all other members, including dead ones.
func (m *Membership) Peers() []Entry {
	entries := make([]Entry, 0, len(m.peers))
	for _, p := range m.peers {
		entries = append(entries, p.Entry)
	}
	return entries
}

// setState advances this member's state and broadcasts it.
func (m *Membership) setState(s lhflow.MemberState) {
	m.self.State = s
	m.broadcast(m.self.ID)
	m.viewStale = true
	m.updateView()
}

// find returns the peer with the given ID, or nil.
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
