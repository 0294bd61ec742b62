package lhflow

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the capacity and the timeouts of an Engine. A zero field selects its
// default.
type Limits struct {
	// Flows is the maximum number of records in the table.
	Flows int
	// Lease is how long a VM may use a record that an owner has returned to it.
	Lease time.Duration
	// RelaysBeforeLease is how many relayed packets of a flow an owner forwards
	// itself before it returns the record to the VM that relayed the packet.
	RelaysBeforeLease int
	// RetryAfter is how long a SYN may remain unanswered before a retransmission may go
	// to another server.
	RetryAfter time.Duration
	// RefuseAfter is how long a SYN may remain unanswered before a retransmission is
	// refused.
	RefuseAfter time.Duration
	// IdleTCP and IdleUDP are the idle timeouts of flows.
	IdleTCP time.Duration
	IdleUDP time.Duration
	// MaxPause is how long a VM may be suspended before it revalidates its records,
	// because other members may own its flows by then.
	MaxPause time.Duration
	// Grace is how long after the loss of a member packets of unknown flows are
	// dropped, so that the caller retransmits them, before such flows are reset.
	Grace time.Duration
}

// The defaults of Limits.
const (
	defaultFlows             = 500_000
	defaultLease             = 2 * time.Second
	defaultRelaysBeforeLease = 4
	defaultRetryAfter        = 800 * time.Millisecond
	defaultRefuseAfter       = 5 * time.Second
	defaultIdleTCP           = 24 * time.Hour
	defaultIdleUDP           = 5 * time.Minute
	defaultMaxPause          = 2 * time.Second
	defaultGrace             = 60 * time.Second
)

const (
	// halfOpenTTL is how long the second owner keeps a flow whose handshake it has
	// not seen completed.
	halfOpenTTL = 30 * time.Second
	// closingTTL is how long a flow is kept after one end has sent FIN.
	closingTTL = 10 * time.Minute
	// closedTTL is how long the record of a closed flow is kept for late packets.
	closedTTL = 60 * time.Second
	// learnedTTL is how long a record is kept after its lease has expired, so that
	// other members can look it up.
	learnedTTL = 60 * time.Second
	// viewConvergence is how long the members' views may differ after a membership
	// change.
	viewConvergence = 5 * time.Second
	// latePacketTTL is how long packets of an earlier flow from the same port may
	// still arrive.
	latePacketTTL = 20 * time.Second
	// lateSeqWindow is the range, in bytes before a flow's initial sequence number,
	// in which sequence and acknowledgement numbers are attributed to an earlier
	// flow from the same port.
	lateSeqWindow = 1 << 30
	// copyRefresh is the age at which the second owner's copy is renewed.
	copyRefresh = time.Hour
	// maxHops is the maximum number of times that a packet is relayed between
	// members.
	maxHops = 8
	// maxAttempts is the maximum number of servers that a SYN is sent to.
	maxAttempts = 2
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.Flows, defaultFlows)
	setDefault(&l.Lease, defaultLease)
	setDefault(&l.RelaysBeforeLease, defaultRelaysBeforeLease)
	setDefault(&l.RetryAfter, defaultRetryAfter)
	setDefault(&l.RefuseAfter, defaultRefuseAfter)
	setDefault(&l.IdleTCP, defaultIdleTCP)
	setDefault(&l.IdleUDP, defaultIdleUDP)
	setDefault(&l.MaxPause, defaultMaxPause)
	setDefault(&l.Grace, defaultGrace)
	return l
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Engine makes the forwarding decisions of one VM. Its methods are safe for
// concurrent use.
type Engine struct {
	placer Placer
	limits Limits
	table  table
	// size is the number of records in the table.
	size atomic.Int64
	view atomic.Pointer[View]
	// handOverView is the last view whose records are all queued for hand-over.
	handOverView atomic.Pointer[View]
	refused      refusals
	// viewChanged and memberLost are the ticks of the last view change and of the
	// last loss of a member that had not left; 0 for never.
	viewChanged atomic.Uint32
	memberLost  atomic.Uint32
	// lastHeartbeat is the tick of the last Heartbeat call; 0 before the first.
	lastHeartbeat atomic.Uint32
	// pauses counts suspensions of the VM that exceeded Limits.MaxPause.
	pauses atomic.Uint64
	// viewMu serializes view changes and the revocation of records after a pause.
	viewMu  sync.Mutex
	pending handOverQueue
}

// NewEngine returns an Engine for a VM that is the only member until SetView is
// called.
func NewEngine(self MemberID, p Placer, l Limits) *Engine {
	e := &Engine{placer: p, limits: l.withDefaults()}
	alone := []Member{{ID: self, State: Active}}
	e.view.Store(NewView(0, self, alone))
	e.handOverView.Store(e.view.Load())
	return e
}

// View returns the current view.
func (e *Engine) View() *View { return e.view.Load() }

// Len returns the number of records in the table.
func (e *Engine) Len() int { return int(e.size.Load()) }

// Handle returns the decision on one packet.
func (e *Engine) Handle(ev Event) Verdict {
	if e.pausedAt(ev.Now) {
		e.revokeRecords(ev.Now)
	}
	switch ev.Relay.Kind {
	case RelayCopy:
		return e.receiveCopy(&ev)
	case RelayReturn:
		return e.receiveReturned(&ev)
	case RelayLookup:
		return e.answerLookup(&ev)
	}
	return e.route(&ev)
}

// route decides on a packet that arrived from outside the group or that a peer
// relayed for a decision.
func (e *Engine) route(ev *Event) Verdict {
	s := e.table.shard(ev.ID)
	now := ticks(ev.Now)
	s.mu.Lock()
	en := s.find(ev.ID)
	if en != nil && en.valid(now) && !needsOwner(ev, en) && en.ownerDone(now) {
		return e.sendKnown(ev, s, en)
	}
	s.mu.Unlock()
	view := e.view.Load()
	owners := view.Owners(ev.ID)
	if owners.First == view.Self || owners.First == 0 {
		return e.decideAsOwner(ev, view, owners)
	}
	return e.forwardToOwner(ev, view, owners.First)
}

// needsOwner reports whether the decision is reserved to the flow's first owner.
// This holds until the flow is open and for packets that end it. Thus the response
// to a SYN passes the first owner before the caller sees it, so that no data can
// flow that the owner does not expect, and the owner can measure the server's first
// response.
func needsOwner(ev *Event, en *entry) bool {
	if ev.Flags&(SYN|FIN|RST) != 0 {
		return true
	}
	return en.state < Open
}

// sendKnown forwards a packet of a flow for which this VM has a valid record. The
// caller holds the shard's lock; sendKnown releases it.
func (e *Engine) sendKnown(ev *Event, s *shard, en *entry) Verdict {
	now := ticks(ev.Now)
	if ev.Source == FromServer && isLateAnswer(ev, en, now) {
		s.mu.Unlock()
		return Verdict{Reason: ReasonLateAnswer}
	}
	leaseGranted := false
	if ev.Relay.Kind == RelayRequest && en.has(owned) {
		leaseGranted = e.countRelayed(en, ev)
	}
	en.lastSeen = now
	found := *en
	s.mu.Unlock()
	if leaseGranted {
		return returnRecord(ev, &found)
	}
	return e.send(ev, &found)
}

// countRelayed counts a relayed packet and reports whether the record is to be
// returned to the member that relayed it, in which case it also grants a lease.
// Only packets in quick succession count, because a lease is useful only if the
// member sees another packet of the flow before the lease expires.
func (e *Engine) countRelayed(en *entry, ev *Event) bool {
	switch gap := ticks(ev.Now).sub(en.lastSeen); {
	case gap > e.maxLeaseGap():
		en.relayedPackets /= 2
	case en.relayedPackets < 255:
		en.relayedPackets++
	}
	if en.state != Open || ev.Relay.Hops != 1 {
		return false
	}
	// The first owner waits for the server's first response, but not indefinitely:
	// some servers never send data.
	if int(en.relayedPackets) <= e.limits.RelaysBeforeLease || !en.has(responded) && en.relayedPackets < 255 {
		return false
	}
	en.leaseEnd = ticks(ev.Now + e.limits.Lease)
	return true
}

// maxLeaseGap returns the maximum interval between two packets of a flow at which a
// lease is useful: below it each member sees about two packets within a lease.
func (e *Engine) maxLeaseGap() time.Duration {
	return 2 * e.limits.Lease / time.Duration(len(e.view.Load().Members)+1)
}

// send forwards a packet to the other end of its flow.
func (e *Engine) send(ev *Event, en *entry) Verdict {
	if ev.Source == FromServer {
		return Verdict{Action: ToCaller}
	}
	if !e.placer.Serves(en.server, ev.Key) {
		return Verdict{Action: Reset, Reason: ReasonServerGone}
	}
	return Verdict{Action: ToServer, Server: en.server}
}

// forwardToOwner relays the packet to the flow's first owner.
func (e *Engine) forwardToOwner(ev *Event, view *View, first MemberID) Verdict {
	relay := newRelay(ev, view, RelayRequest)
	if ev.Relay.Kind == RelayRequest {
		relay.Origin = ev.Relay.Origin
		relay.Stamp = ev.Relay.Stamp
		relay.Hops = ev.Relay.Hops + 1
	}
	if relay.Hops > maxHops {
		return Verdict{Reason: ReasonHops}
	}
	return Verdict{Action: ToPeer, Peer: first, Relay: relay}
}

// newRelay returns the Relay for a packet whose record this VM lacks.
func newRelay(ev *Event, view *View, k RelayKind) Relay {
	return Relay{
		Kind:   k,
		Hops:   1,
		Origin: view.Self,
		Stamp:  uint32(ticks(ev.Now)),
		Source: ev.Source,
		Server: ev.Server,
	}
}

// returnRecord returns the packet and the record to the member that relayed it.
func returnRecord(ev *Event, en *entry) Verdict {
	relay := relayWithRecord(ev, en)
	relay.Kind = RelayReturn
	relay.Origin = ev.Relay.Origin
	relay.Stamp = ev.Relay.Stamp
	relay.Hops = ev.Relay.Hops + 1
	return Verdict{Action: ToPeer, Peer: ev.Relay.Origin, Relay: relay}
}

// relayWithRecord returns a Relay that carries the record along with the packet.
func relayWithRecord(ev *Event, en *entry) Relay {
	return Relay{
		Source:  ev.Source,
		Server:  en.server,
		ISN:     en.isn,
		State:   en.state,
		Work:    en.work,
		Attempt: en.attempt,
	}
}

// isLateAnswer reports whether a server's packet belongs to an earlier flow from
// the same port: it comes from another server, or it acknowledges data that the
// caller sent before this flow's SYN.
func isLateAnswer(ev *Event, en *entry, now tick) bool {
	if ev.Server != en.server {
		return true
	}
	return en.has(owned) && ev.Flags.Has(ACK) && en.isEarlierSeq(ev.Ack, now)
}
