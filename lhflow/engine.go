package lhflow

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the bounds and times that an Engine works within. A zero field
// stands for its default.
type Limits struct {
	// Flows is how many records the table holds at most.
	Flows int
	// Lease is how long a VM uses a record that an owner has returned to it.
	Lease time.Duration
	// Teach is how many relayed packets of a flow an owner sends on itself
	// before it returns the record to the VM that relayed the packet.
	Teach int
	// Retry is how long a server may leave a SYN unanswered before a repeated
	// SYN may go to another server.
	Retry time.Duration
	// Refuse is how long it may do so before a repeated SYN is refused.
	Refuse time.Duration
	// IdleTCP and IdleUDP are how long a flow without packets is kept.
	IdleTCP time.Duration
	IdleUDP time.Duration
	// Pause is how long a VM may stand still until its records count as doubtful,
	// because others may own its flows by now.
	Pause time.Duration
	// Grace is how long after the loss of a member packets of unknown flows are
	// dropped, for the caller to repeat, before they are reset.
	Grace time.Duration
}

// The defaults of Limits.
const (
	defaultFlows   = 500_000
	defaultLease   = 2 * time.Second
	defaultTeach   = 4
	defaultRetry   = 800 * time.Millisecond
	defaultRefuse  = 5 * time.Second
	defaultIdleTCP = 24 * time.Hour
	defaultIdleUDP = 5 * time.Minute
	defaultPause   = 2 * time.Second
	defaultGrace   = 60 * time.Second
)

const (
	// halfOpenLife is how long the second owner keeps a flow whose handshake it has
	// not seen completed.
	halfOpenLife = 30 * time.Second
	// closingLife is how long a flow is kept that one end has closed.
	closingLife = 10 * time.Minute
	// closedLife is how long the record of an ended flow is kept for late packets.
	closedLife = 60 * time.Second
	// learnedLife is how long a record is kept after its lease for others to find.
	learnedLife = 60 * time.Second
	// settle is how long views may differ after a change of membership.
	settle = 5 * time.Second
	// lateLife is how long answers to a port's earlier flow may still arrive.
	lateLife = 20 * time.Second
	// lateWindow is how far before a flow's first sequence number the
	// acknowledgements of the port's earlier flow are looked for, in bytes.
	lateWindow = 1 << 30
	// refresh is the age at which the second owner's copy is renewed.
	refresh = time.Hour
	// maxHops is how many members may pass one packet on.
	maxHops = 8
	// maxAttempts is how many servers a SYN is sent to.
	maxAttempts = 2
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.Flows, defaultFlows)
	setDefault(&l.Lease, defaultLease)
	setDefault(&l.Teach, defaultTeach)
	setDefault(&l.Retry, defaultRetry)
	setDefault(&l.Refuse, defaultRefuse)
	setDefault(&l.IdleTCP, defaultIdleTCP)
	setDefault(&l.IdleUDP, defaultIdleUDP)
	setDefault(&l.Pause, defaultPause)
	setDefault(&l.Grace, defaultGrace)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine decides over the packets that one VM sees. Its methods may be called
// from several threads.
type Engine struct {
	placer Placer
	limits Limits
	table  table
	// size is the number of records in the table.
	size atomic.Int64
	view atomic.Pointer[View]
	// listed is the last view whose hand-over has been listed whole.
	listed  atomic.Pointer[View]
	refused refusals
	// changed and lost are the ticks of the last change of view and of the last
	// loss of a member that had not left; 0 for never.
	changed atomic.Uint32
	lost    atomic.Uint32
	// beat is the tick of the last Beat; 0 before the first.
	beat atomic.Uint32
	// pauses counts how often the VM has stood still for too long.
	pauses atomic.Uint64
	// sweep serializes changes of view and of doubt.
	sweep   sync.Mutex
	pending pending
}

// NewEngine returns an Engine of a VM that is alone until SetView is called.
func NewEngine(self MemberID, p Placer, l Limits) *Engine {
	e := &Engine{placer: p, limits: l.withDefaults()}
	alone := []Member{{ID: self, State: Active}}
	e.view.Store(NewView(0, self, alone))
	e.listed.Store(e.view.Load())
	return e
}

// View returns the view in use.
func (e *Engine) View() *View { return e.view.Load() }

// Len returns the number of records that the VM holds.
func (e *Engine) Len() int { return int(e.size.Load()) }

// Handle decides what happens to one packet.
func (e *Engine) Handle(ev Event) Verdict {
	if e.pausedAt(ev.Now) {
		e.doubt(ev.Now)
	}
	switch ev.Relay.Kind {
	case RelayCopy:
		return e.copy(&ev)
	case RelayTeach:
		return e.learn(&ev)
	case RelayFind:
		return e.find(&ev)
	}
	return e.route(&ev)
}

// route decides over a packet from outside the group or asked about by a peer.
func (e *Engine) route(ev *Event) Verdict {
	s := e.table.shard(ev.ID)
	now := ticks(ev.Now)
	s.mu.Lock()
	en := s.find(ev.ID)
	if en != nil && en.valid(now) && !needsOwner(ev, en) && en.settled(now) {
		return e.known(ev, s, en)
	}
	s.mu.Unlock()
	view := e.view.Load()
	owners := view.Owners(ev.ID)
	if owners.First == view.Self || owners.First == 0 {
		return e.decide(ev, view, owners)
	}
	return e.ask(ev, view, owners.First)
}

// needsOwner reports whether only the flow's first owner may decide: until the
// flow is open, and on packets that end it. So the answer to a SYN passes the
// first owner before the caller sees it, and no data can flow that it does not
// expect; and it sees how long the server takes for its first answer.
func needsOwner(ev *Event, en *entry) bool {
	if ev.Flags&(SYN|FIN|RST) != 0 {
		return true
	}
	return en.state < Open
}

// known sends a packet of a flow whose valid record this VM has. The shard's lock
// is held and released here.
func (e *Engine) known(ev *Event, s *shard, en *entry) Verdict {
	now := ticks(ev.Now)
	if ev.Source == FromServer && isLate(ev, en, now) {
		s.mu.Unlock()
		return Verdict{Reason: ReasonLateAnswer}
	}
	taught := false
	if ev.Relay.Kind == RelayAsk && en.has(owned) {
		taught = e.countRelayed(en, ev)
	}
	en.seen = now
	found := *en
	s.mu.Unlock()
	if taught {
		return teach(ev, &found)
	}
	return e.send(ev, &found)
}

// countRelayed counts a relayed packet and reports whether the record is to be
// returned to the member that relayed it; a lease is then granted. Only packets in
// quick succession count, for a lease is of use if the member sees another packet
// of the flow before it ends.
func (e *Engine) countRelayed(en *entry, ev *Event) bool {
	switch gap := ticks(ev.Now).after(en.seen); {
	case gap > e.usefulGap():
		en.relayed /= 2
	case en.relayed < 255:
		en.relayed++
	}
	if en.state != Open || ev.Relay.Hops != 1 {
		return false
	}
	// The first owner waits for the server's first answer, but not for ever: some
	// servers never send data.
	if int(en.relayed) <= e.limits.Teach || !en.has(served) && en.relayed < 255 {
		return false
	}
	en.lease = ticks(ev.Now + e.limits.Lease)
	return true
}

// usefulGap returns the time between two packets of a flow below which each member
// sees about two of them within a lease.
func (e *Engine) usefulGap() time.Duration {
	return 2 * e.limits.Lease / time.Duration(len(e.view.Load().Members)+1)
}

// send sends a packet to the other end of its flow.
func (e *Engine) send(ev *Event, en *entry) Verdict {
	if ev.Source == FromServer {
		return Verdict{Action: ToCaller}
	}
	if !e.placer.Holds(en.server, ev.Key) {
		return Verdict{Action: Reset, Reason: ReasonServerGone}
	}
	return Verdict{Action: ToServer, Server: en.server}
}

// ask passes the packet on to the flow's first owner.
func (e *Engine) ask(ev *Event, view *View, first MemberID) Verdict {
	relay := request(ev, view, RelayAsk)
	if ev.Relay.Kind == RelayAsk {
		relay.Origin = ev.Relay.Origin
		relay.Stamp = ev.Relay.Stamp
		relay.Hops = ev.Relay.Hops + 1
	}
	if relay.Hops > maxHops {
		return Verdict{Reason: ReasonHops}
	}
	return Verdict{Action: ToPeer, Peer: first, Relay: relay}
}

// request returns the Relay of a packet whose record this VM lacks.
func request(ev *Event, view *View, k RelayKind) Relay {
	return Relay{
		Kind:   k,
		Hops:   1,
		Origin: view.Self,
		Stamp:  uint32(ticks(ev.Now)),
		Source: ev.Source,
		Server: ev.Server,
	}
}

// teach returns the packet and the record to the member that asked.
func teach(ev *Event, en *entry) Verdict {
	relay := carry(ev, en)
	relay.Kind = RelayTeach
	relay.Origin = ev.Relay.Origin
	relay.Stamp = ev.Relay.Stamp
	relay.Hops = ev.Relay.Hops + 1
	return Verdict{Action: ToPeer, Peer: ev.Relay.Origin, Relay: relay}
}

// carry returns a Relay that brings the record along with the packet.
func carry(ev *Event, en *entry) Relay {
	return Relay{
		Source:  ev.Source,
		Server:  en.server,
		ISN:     en.isn,
		State:   en.state,
		Work:    en.work,
		Attempt: en.attempt,
	}
}

// isLate reports whether an answer belongs to an earlier flow of the same port:
// it comes from another server, or acknowledges what the caller sent before this
// flow's SYN.
func isLate(ev *Event, en *entry, now tick) bool {
	if ev.Server != en.server {
		return true
	}
	return en.has(owned) && ev.Flags.Has(ACK) && en.precedes(ev.Ack, now)
}
