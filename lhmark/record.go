package lhmark

import (
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// state is the state of a flow as this VM has observed it.
type state uint8

const (
	// opening follows a SYN that is not known to have been answered.
	opening state = iota
	// open follows the handshake.
	open
	// closing follows the caller's FIN.
	closing
)

const (
	// maxSYNServers is the maximum number of servers that the SYN of a flow is sent to.
	maxSYNServers = 3
	// halfOpenTimeout is the maximum duration of a handshake: callers give up after 1.4 s.
	halfOpenTimeout = 1500 * time.Millisecond
	// closingTimeout is how long after a caller's FIN late packets are expected.
	closingTimeout = 3 * time.Second
	// defaultIdleTimeout limits the silence of an open flow if the configuration
	// does not. It is the longest flow lifetime that the platform allows.
	defaultIdleTimeout = 60 * time.Second
	// shardCount is the number of shards that the records are divided into.
	shardCount = 32
	// sequenceWindow is the distance of sequence numbers within which packets belong to one
	// flow. Both ends choose their first numbers at random, so that two flows lie within it in
	// one of 4 million cases; a flow that goes on through other VMs may leave it, and is then
	// found by its mark.
	sequenceWindow = 1 << 20
)

// record is what a VM has observed of a flow. The small fields come first, so that it takes 72
// bytes.
type record struct {
	state state
	// inFlight is set while a SYN or request is unanswered. It is changed by setInFlight.
	inFlight bool
	// granted is set from a SYN that counts for its caller until the flow's first request.
	granted bool
	// server is the number of the server that the flow's packets are sent to; marked is set
	// once a packet has named it. A later mark may be that of a late answer to another copy
	// of the SYN.
	marked bool
	// tried holds the servers that the SYN was sent to; the first attempts elements
	// are valid.
	attempts uint8
	server   uint32
	tried    [maxSYNServers]uint32
	// isn is the sequence number of the SYN; 0 if this VM has not seen it.
	isn uint32
	// synCopy is the number of the latest copy of the SYN. While all are throttled, it is that of
	// the latest one before which none is missing.
	synCopy uint32
	// nextSeq is the sequence number after the caller's data, and requestAck the
	// caller's acknowledgement number when the request in progress began, or the latest one.
	nextSeq, requestAck uint32
	// sentAt is when the SYN was sent to its latest server, or the latest request began.
	sentAt time.Duration
	// lastSeen is when the VM last received a packet of the flow.
	lastSeen time.Duration
	// work is what the VM has in progress of the flow's kind of work; nil if that is not known.
	work *workLoad
	// handshake is how long the server took to answer the SYN; 0 if that is not known.
	handshake time.Duration
}

// throttled reports whether this VM has dropped all copies of the flow's SYN so far.
func (r *record) throttled() bool { return r.state == opening && r.attempts == 0 }

// covers reports whether a packet belongs to the recorded flow, and not to one that has used
// the same port before or after.
func (r *record) covers(ev *lhflow.Event) bool {
	switch {
	case ev.Flags.Has(lhflow.RST) && (ev.Mark == 0 || ev.Mark == r.server):
		return true
	case r.state == opening:
		return inWindow(ev.Seq, r.isn)
	}
	return inWindow(ev.Seq, r.nextSeq) && (!ev.Flags.Has(lhflow.ACK) || inWindow(ev.Ack, r.requestAck))
}

// inWindow reports whether two sequence numbers are within the window of a flow.
func inWindow(a, b uint32) bool {
	distance := int32(a - b)
	return -sequenceWindow < distance && distance < sequenceWindow
}

// coversCopies reports whether this VM has dropped all earlier copies of a SYN, so that none can
// have opened the flow through another VM. A nil record covers the first copy only.
func (r *record) coversCopies(ev *lhflow.Event) bool {
	if r == nil {
		return ev.Ack == 0
	}
	return ev.Ack <= r.synCopy+1
}

// setInFlight sets whether the flow has an unanswered SYN or request, which began at sentAt.
func (r *record) setInFlight(now time.Duration, inFlight bool) {
	if inFlight == r.inFlight {
		return
	}
	r.inFlight = inFlight
	if inFlight {
		r.work.begin(now)
	} else {
		r.work.end(now, r.sentAt)
	}
}

// expired reports whether no more packets of the flow are expected.
func (r *record) expired(now, idle time.Duration) bool {
	silence := now - r.lastSeen
	switch r.state {
	case opening:
		return silence > halfOpenTimeout
	case closing:
		return silence > closingTimeout
	}
	return silence > idle
}

// startsRequest reports whether a packet carries the first data of a request.
func (r *record) startsRequest(ev *lhflow.Event) bool {
	return ev.Data > 0 && !r.inFlight && int32(ev.Seq+uint32(ev.Data)-r.nextSeq) > 0
}

// shard holds a part of the records under its own lock.
type shard struct {
	mu      sync.Mutex
	records map[lhflow.Key]*record
}

// find returns the record of a flow, or nil. The lock must be held.
func (s *shard) find(key lhflow.Key) *record { return s.records[key] }

// put stores the record of a flow. The lock must be held.
func (s *shard) put(key lhflow.Key, r *record) {
	if s.records == nil {
		s.records = make(map[lhflow.Key]*record)
	}
	s.records[key] = r
}
