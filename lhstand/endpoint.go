package lhstand

import (
	"net/netip"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// Sizes in bytes.
const (
	segmentSize = 1200
	// windowSize is how much may be on its way without acknowledgement.
	windowSize = 16 * segmentSize
)

// maxEarly is how many segments are kept that came before their turn.
const maxEarly = 64

// Timeouts of the endpoint.
const (
	firstTimeout = 200 * time.Millisecond
	maxTimeout   = 1600 * time.Millisecond
	// maxAttempts is how often a segment is sent before the connection times out.
	maxAttempts = 8
	// linger is how long an end that has closed answers late segments.
	linger = 2 * time.Second
)

// endpointState is where an endpoint stands between opening and its end.
type endpointState uint8

const (
	synSent endpointState = iota
	synReceived
	established
	// timeWait is an endpoint that has closed and answers late segments.
	timeWait
	ended
)

// endpoint is one end of a TCP connection. It sends nothing itself: packets
// gather in out. It is driven by receive, tick and the calls of its user, and
// reads no clock.
type endpoint struct {
	local, remote netip.AddrPort
	state         endpointState
	// outcome is Pending until the end is certain.
	outcome Outcome

	// una is the oldest sequence number that is not acknowledged, next the next to
	// send, and max the highest that was ever sent: una <= next <= max.
	una, next, max uint32
	// unacked holds the bytes from una on, sent or not, without SYN and FIN.
	unacked  []byte
	synAcked bool
	// closing is set when a FIN follows the last byte of unacked.
	closing  bool
	finAcked bool

	// recvNext is the next sequence number expected.
	recvNext uint32
	// received holds the bytes in order that were not read yet.
	received []byte
	// early holds segments that came before recvNext did, by sequence number.
	early map[uint32][]byte
	// finSeq is the sequence number of the peer's FIN when hasFIN is set.
	finSeq      uint32
	hasFIN      bool
	finReceived bool

	// deadline is when tick has to act; zero for never.
	deadline time.Time
	timeout  time.Duration
	attempts int

	out [][]byte
}

// newEndpoint returns an endpoint with initial sequence number isn.
func newEndpoint(local, remote netip.AddrPort, isn uint32) endpoint {
	return endpoint{local: local, remote: remote, una: isn, next: isn, max: isn, timeout: firstTimeout}
}

// connect sends the SYN.
func (e *endpoint) connect(now time.Time) {
	e.state = synSent
	e.sendSYN(lhflow.SYN, now)
}

// accept answers the SYN p.
func (e *endpoint) accept(now time.Time, p *lhwire.Packet) {
	e.state = synReceived
	e.recvNext = p.Seq() + 1
	e.sendSYN(lhflow.SYN|lhflow.ACK, now)
}

// write takes bytes to send. They are dropped once the endpoint is closing.
func (e *endpoint) write(now time.Time, b []byte) {
	if e.closing || e.state >= timeWait {
		return
	}
	e.unacked = append(e.unacked, b...)
	e.pump(now)
}

// read moves received bytes into b.
func (e *endpoint) read(b []byte) int {
	n := copy(b, e.received)
	e.received = e.received[n:]
	if len(e.received) == 0 {
		e.received = nil
	}
	return n
}

// close sends a FIN after the bytes that were written.
func (e *endpoint) close(now time.Time) {
	if e.closing || e.state >= timeWait {
		return
	}
	e.closing = true
	e.pump(now)
}

// abort resets the connection, unless both ends have closed it.
func (e *endpoint) abort() {
	if e.state >= timeWait {
		return
	}
	e.emit(lhflow.RST|lhflow.ACK, e.next, nil)
	e.end(Canceled)
}

// receive handles a packet from the other end.
func (e *endpoint) receive(now time.Time, p *lhwire.Packet) {
	switch {
	case e.state == ended || p.IsICMPError():
	case p.Flags().Has(lhflow.RST):
		e.receiveReset(p)
	case e.state == synSent:
		e.receiveAnswer(now, p)
	case p.Flags().Has(lhflow.SYN):
		e.receiveRepeatedSYN()
	default:
		e.receiveSegment(now, p)
	}
}

func (e *endpoint) receiveReset(p *lhwire.Packet) {
	if e.state == synSent {
		if p.Flags().Has(lhflow.ACK) && p.Ack() == e.max {
			e.end(Refused)
		}
		return
	}
	if p.Seq()-e.recvNext < windowSize {
		e.end(Reset)
	}
}

// receiveAnswer handles what comes back for a SYN.
func (e *endpoint) receiveAnswer(now time.Time, p *lhwire.Packet) {
	if !p.Flags().Has(lhflow.ACK) {
		return
	}
	if p.Ack() != e.max || !p.Flags().Has(lhflow.SYN) {
		e.emit(lhflow.RST, p.Ack(), nil)
		return
	}
	e.state = established
	e.recvNext = p.Seq() + 1
	e.acknowledged(now, p.Ack())
	e.emit(lhflow.ACK, e.next, nil)
	e.pump(now)
}

// receiveRepeatedSYN answers a SYN of a connection that is known already.
func (e *endpoint) receiveRepeatedSYN() {
	if e.state == synReceived {
		e.emit(lhflow.SYN|lhflow.ACK, e.una, nil)
		return
	}
	e.emit(lhflow.ACK, e.next, nil)
}

func (e *endpoint) receiveSegment(now time.Time, p *lhwire.Packet) {
	if p.Flags().Has(lhflow.ACK) && p.Ack()-e.una <= e.max-e.una {
		if e.state == synReceived && p.Ack() != e.una {
			e.state = established
		}
		e.acknowledged(now, p.Ack())
	}
	if p.PayloadLen() > 0 || p.Flags().Has(lhflow.FIN) {
		e.takeIn(p)
		e.emit(lhflow.ACK, e.next, nil)
	}
	e.pump(now)
	e.finish(now)
}

// acknowledged drops what the other end has received up to ack.
func (e *endpoint) acknowledged(now time.Time, ack uint32) {
	if ack == e.una {
		return
	}
	size := ack - e.una
	if !e.synAcked {
		e.synAcked = true
		size--
	}
	if size > uint32(len(e.unacked)) {
		e.finAcked = true
		size = uint32(len(e.unacked))
	}
	e.unacked = e.unacked[size:]
	e.una = ack
	if e.next-e.una > e.max-e.una {
		e.next = ack
	}
	e.attempts, e.timeout = 0, firstTimeout
	e.arm(now)
}

// takeIn takes over the bytes of a segment, in order.
func (e *endpoint) takeIn(p *lhwire.Packet) {
	if p.Flags().Has(lhflow.FIN) {
		e.hasFIN, e.finSeq = true, p.Seq()+uint32(p.PayloadLen())
	}
	if p.PayloadLen() > 0 && p.Seq()+uint32(p.PayloadLen())-e.recvNext <= 2*windowSize {
		e.keep(p.Seq(), p.Payload())
	}
	if e.hasFIN && !e.finReceived && e.recvNext == e.finSeq {
		e.recvNext++
		e.finReceived = true
	}
}

// keep stores a segment and appends those that are now in order.
func (e *endpoint) keep(seq uint32, data []byte) {
	if seq != e.recvNext && seq-e.recvNext <= windowSize {
		if e.early == nil || len(e.early) == maxEarly {
			e.early = make(map[uint32][]byte)
		}
		e.early[seq] = append([]byte(nil), data...)
		return
	}
	for ok := true; ok; data, ok = e.early[e.recvNext] {
		delete(e.early, seq)
		e.received = append(e.received, data[e.recvNext-seq:]...)
		seq += uint32(len(data))
		e.recvNext = seq
	}
}

// pump sends what the window permits.
func (e *endpoint) pump(now time.Time) {
	if e.state != established {
		return
	}
	for {
		offset := e.next - e.una
		if offset >= uint32(len(e.unacked)) || offset >= windowSize {
			break
		}
		data := e.unacked[offset:min(offset+segmentSize, uint32(len(e.unacked)))]
		e.emit(lhflow.ACK, e.next, data)
		e.advance(uint32(len(data)))
	}
	if e.closing && !e.finAcked && e.next-e.una == uint32(len(e.unacked)) {
		e.emit(lhflow.FIN|lhflow.ACK, e.next, nil)
		e.advance(1)
	}
	if e.deadline.IsZero() {
		e.arm(now)
	}
}

// advance counts sequence numbers as sent.
func (e *endpoint) advance(n uint32) {
	e.next += n
	if e.next-e.una > e.max-e.una {
		e.max = e.next
	}
}

// finish starts the time to linger once both ends have closed.
func (e *endpoint) finish(now time.Time) {
	if e.state != established || !e.finAcked || !e.finReceived {
		return
	}
	e.state = timeWait
	e.outcome = Whole
	e.deadline = now.Add(linger)
}

// tick sends again what has not been acknowledged in time.
func (e *endpoint) tick(now time.Time) {
	if e.deadline.IsZero() || now.Before(e.deadline) {
		return
	}
	if e.state == timeWait {
		e.end(Whole)
		return
	}
	e.attempts++
	if e.attempts >= maxAttempts {
		e.end(TimedOut)
		return
	}
	e.timeout = min(2*e.timeout, maxTimeout)
	e.next = e.una
	switch e.state {
	case synSent:
		e.sendSYN(lhflow.SYN, now)
	case synReceived:
		e.sendSYN(lhflow.SYN|lhflow.ACK, now)
	default:
		e.deadline = time.Time{}
		e.pump(now)
	}
}

// arm sets the deadline by which what was sent has to be acknowledged.
func (e *endpoint) arm(now time.Time) {
	e.deadline = time.Time{}
	if e.una != e.max {
		e.deadline = now.Add(e.timeout)
	}
}

func (e *endpoint) sendSYN(flags lhflow.Flags, now time.Time) {
	e.emit(flags, e.una, nil)
	e.next = e.una
	e.advance(1)
	e.arm(now)
}

func (e *endpoint) emit(flags lhflow.Flags, seq uint32, data []byte) {
	s := lhwire.Segment{
		From: e.local, To: e.remote, Flags: flags, Seq: seq, Window: windowSize, Data: data,
	}
	if flags.Has(lhflow.ACK) {
		s.Ack = e.recvNext
	}
	e.out = append(e.out, s.Inner())
}

func (e *endpoint) end(o Outcome) {
	e.state = ended
	if e.outcome == Pending {
		e.outcome = o
	}
	e.deadline = time.Time{}
}
