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
	// windowSize is the limit of unacknowledged data in flight.
	windowSize = 16 * segmentSize
)

// maxOutOfOrder is the maximum number of buffered out-of-order segments.
const maxOutOfOrder = 64

// Retransmission and TIME-WAIT timeouts.
const (
	initialRTO = 200 * time.Millisecond
	maxRTO     = 1600 * time.Millisecond
	// maxAttempts is how many times a segment is sent before the connection times
	// out.
	maxAttempts = 8
	// timeWaitDuration is how long a closed endpoint answers late segments.
	timeWaitDuration = 2 * time.Second
)

// endpointState is the state of an endpoint, in the order in which states are
// reached.
type endpointState uint8

const (
	synSent endpointState = iota
	synReceived
	established
	// timeWait means that both ends have closed and late segments are still answered.
	timeWait
	// closed means that the connection has ended and packets are ignored.
	closed
)

// endpoint is the state machine of one end of a TCP connection. It performs no I/O
// and reads no clock: its methods take the time, and packets to send are queued in
// outgoing.
type endpoint struct {
	local, remote netip.AddrPort
	state         endpointState
	// outcome is Pending until the connection has ended or reached TIME-WAIT.
	outcome Outcome

	// sndUna is the oldest unacknowledged sequence number, sndNext the next one to
	// send, and sndMax the highest one ever sent: sndUna <= sndNext <= sndMax.
	sndUna, sndNext, sndMax uint32
	// sendBuffer holds the bytes from sndUna on, sent or not, without SYN and FIN.
	sendBuffer []byte
	synAcked   bool
	// closing is set when a FIN follows the last byte of sendBuffer.
	closing  bool
	finAcked bool

	// rcvNext is the next expected sequence number.
	rcvNext uint32
	// receiveBuffer holds the in-order bytes that have not been read yet.
	receiveBuffer []byte
	// outOfOrder holds segments that start after rcvNext, by sequence number.
	outOfOrder map[uint32][]byte
	// finSeq is the sequence number of the peer's FIN when hasFIN is set.
	finSeq      uint32
	hasFIN      bool
	finReceived bool

	// deadline is the expiry of the timer; zero means that it is not running.
	deadline time.Time
	rto      time.Duration
	attempts int

	outgoing [][]byte
}

// newEndpoint returns an endpoint with the initial sequence number isn.
func newEndpoint(local, remote netip.AddrPort, isn uint32) endpoint {
	return endpoint{local: local, remote: remote, sndUna: isn, sndNext: isn, sndMax: isn, rto: initialRTO}
}

// connect sends the SYN.
func (e *endpoint) connect(now time.Time) {
	e.state = synSent
	e.sendSYN(lhflow.SYN, now)
}

// acceptSYN answers the SYN p with a SYN-ACK.
func (e *endpoint) acceptSYN(now time.Time, p *lhwire.Packet) {
	e.state = synReceived
	e.rcvNext = p.Seq() + 1
	e.sendSYN(lhflow.SYN|lhflow.ACK, now)
}

// write queues b for sending. After close it discards b.
func (e *endpoint) write(now time.Time, b []byte) {
	if e.closing || e.state >= timeWait {
		return
	}
	e.sendBuffer = append(e.sendBuffer, b...)
	e.sendPending(now)
}

// read moves received bytes to b and returns their number.
func (e *endpoint) read(b []byte) int {
	n := copy(b, e.receiveBuffer)
	e.receiveBuffer = e.receiveBuffer[n:]
	if len(e.receiveBuffer) == 0 {
		e.receiveBuffer = nil
	}
	return n
}

// close queues a FIN after the data written so far.
func (e *endpoint) close(now time.Time) {
	if e.closing || e.state >= timeWait {
		return
	}
	e.closing = true
	e.sendPending(now)
}

// abort resets the connection unless both ends have closed it.
func (e *endpoint) abort() {
	if e.state >= timeWait {
		return
	}
	e.sendSegment(lhflow.RST|lhflow.ACK, e.sndNext, nil)
	e.terminate(Canceled)
}

// receive handles a packet from the peer.
func (e *endpoint) receive(now time.Time, p *lhwire.Packet) {
	switch {
	case e.state == closed || p.IsICMPError():
	case p.Flags().Has(lhflow.RST):
		e.receiveReset(p)
	case e.state == synSent:
		e.receiveSYNACK(now, p)
	case p.Flags().Has(lhflow.SYN):
		e.receiveDuplicateSYN()
	default:
		e.receiveSegment(now, p)
	}
}

func (e *endpoint) receiveReset(p *lhwire.Packet) {
	if e.state == synSent {
		if p.Flags().Has(lhflow.ACK) && p.Ack() == e.sndMax {
			e.terminate(Refused)
		}
		return
	}
	if p.Seq()-e.rcvNext < windowSize {
		e.terminate(Reset)
	}
}

// receiveSYNACK handles a response to the SYN.
func (e *endpoint) receiveSYNACK(now time.Time, p *lhwire.Packet) {
	if !p.Flags().Has(lhflow.ACK) {
		return
	}
	if p.Ack() != e.sndMax || !p.Flags().Has(lhflow.SYN) {
		e.sendSegment(lhflow.RST, p.Ack(), nil)
		return
	}
	e.state = established
	e.rcvNext = p.Seq() + 1
	e.handleACK(now, p.Ack())
	e.sendSegment(lhflow.ACK, e.sndNext, nil)
	e.sendPending(now)
}

// receiveDuplicateSYN responds to a retransmitted SYN of this connection.
func (e *endpoint) receiveDuplicateSYN() {
	if e.state == synReceived {
		e.sendSegment(lhflow.SYN|lhflow.ACK, e.sndUna, nil)
		return
	}
	e.sendSegment(lhflow.ACK, e.sndNext, nil)
}

func (e *endpoint) receiveSegment(now time.Time, p *lhwire.Packet) {
	if p.Flags().Has(lhflow.ACK) && p.Ack()-e.sndUna <= e.sndMax-e.sndUna {
		if e.state == synReceived && p.Ack() != e.sndUna {
			e.state = established
		}
		e.handleACK(now, p.Ack())
	}
	if p.PayloadLen() > 0 || p.Flags().Has(lhflow.FIN) {
		e.receiveData(p)
		e.sendSegment(lhflow.ACK, e.sndNext, nil)
	}
	e.sendPending(now)
	e.enterTimeWait(now)
}

// handleACK removes the data up to ack from the send buffer.
func (e *endpoint) handleACK(now time.Time, ack uint32) {
	if ack == e.sndUna {
		return
	}
	size := ack - e.sndUna
	if !e.synAcked {
		e.synAcked = true
		size--
	}
	if size > uint32(len(e.sendBuffer)) {
		e.finAcked = true
		size = uint32(len(e.sendBuffer))
	}
	e.sendBuffer = e.sendBuffer[size:]
	e.sndUna = ack
	if e.sndNext-e.sndUna > e.sndMax-e.sndUna {
		e.sndNext = ack
	}
	e.attempts, e.rto = 0, initialRTO
	e.resetTimer(now)
}

// receiveData processes the data and FIN of a segment.
func (e *endpoint) receiveData(p *lhwire.Packet) {
	if p.Flags().Has(lhflow.FIN) {
		e.hasFIN, e.finSeq = true, p.Seq()+uint32(p.PayloadLen())
	}
	if p.PayloadLen() > 0 && p.Seq()+uint32(p.PayloadLen())-e.rcvNext <= 2*windowSize {
		e.reassemble(p.Seq(), p.Payload())
	}
	if e.hasFIN && !e.finReceived && e.rcvNext == e.finSeq {
		e.rcvNext++
		e.finReceived = true
	}
}

// reassemble buffers an out-of-order segment, or appends an in-order one together
// with the buffered segments that follow it.
func (e *endpoint) reassemble(seq uint32, data []byte) {
	if seq != e.rcvNext && seq-e.rcvNext <= windowSize {
		if e.outOfOrder == nil || len(e.outOfOrder) == maxOutOfOrder {
			e.outOfOrder = make(map[uint32][]byte)
		}
		e.outOfOrder[seq] = append([]byte(nil), data...)
		return
	}
	for ok := true; ok; data, ok = e.outOfOrder[e.rcvNext] {
		delete(e.outOfOrder, seq)
		e.receiveBuffer = append(e.receiveBuffer, data[e.rcvNext-seq:]...)
		seq += uint32(len(data))
		e.rcvNext = seq
	}
}

// sendPending sends buffered data and the FIN as far as the window permits.
func (e *endpoint) sendPending(now time.Time) {
	if e.state != established {
		return
	}
	for {
		offset := e.sndNext - e.sndUna
		if offset >= uint32(len(e.sendBuffer)) || offset >= windowSize {
			break
		}
		data := e.sendBuffer[offset:min(offset+segmentSize, uint32(len(e.sendBuffer)))]
		e.sendSegment(lhflow.ACK, e.sndNext, data)
		e.advanceNext(uint32(len(data)))
	}
	if e.closing && !e.finAcked && e.sndNext-e.sndUna == uint32(len(e.sendBuffer)) {
		e.sendSegment(lhflow.FIN|lhflow.ACK, e.sndNext, nil)
		e.advanceNext(1)
	}
	if e.deadline.IsZero() {
		e.resetTimer(now)
	}
}

// advanceNext marks the next n sequence numbers as sent.
func (e *endpoint) advanceNext(n uint32) {
	e.sndNext += n
	if e.sndNext-e.sndUna > e.sndMax-e.sndUna {
		e.sndMax = e.sndNext
	}
}

// enterTimeWait enters TIME-WAIT once both ends have closed.
func (e *endpoint) enterTimeWait(now time.Time) {
	if e.state != established || !e.finAcked || !e.finReceived {
		return
	}
	e.state = timeWait
	e.outcome = Completed
	e.deadline = now.Add(timeWaitDuration)
}

// tick handles an expired timer: it retransmits unacknowledged data or ends
// TIME-WAIT.
func (e *endpoint) tick(now time.Time) {
	if e.deadline.IsZero() || now.Before(e.deadline) {
		return
	}
	if e.state == timeWait {
		e.terminate(Completed)
		return
	}
	e.attempts++
	if e.attempts >= maxAttempts {
		e.terminate(TimedOut)
		return
	}
	e.rto = min(2*e.rto, maxRTO)
	e.sndNext = e.sndUna
	switch e.state {
	case synSent:
		e.sendSYN(lhflow.SYN, now)
	case synReceived:
		e.sendSYN(lhflow.SYN|lhflow.ACK, now)
	default:
		e.deadline = time.Time{}
		e.sendPending(now)
	}
}

// resetTimer restarts the retransmission timer if data is unacknowledged, and stops
// it otherwise.
func (e *endpoint) resetTimer(now time.Time) {
	e.deadline = time.Time{}
	if e.sndUna != e.sndMax {
		e.deadline = now.Add(e.rto)
	}
}

func (e *endpoint) sendSYN(flags lhflow.Flags, now time.Time) {
	e.sendSegment(flags, e.sndUna, nil)
	e.sndNext = e.sndUna
	e.advanceNext(1)
	e.resetTimer(now)
}

func (e *endpoint) sendSegment(flags lhflow.Flags, seq uint32, data []byte) {
	s := lhwire.Segment{
		From: e.local, To: e.remote, Flags: flags, Seq: seq, Window: windowSize, Data: data,
	}
	if flags.Has(lhflow.ACK) {
		s.Ack = e.rcvNext
	}
	e.outgoing = append(e.outgoing, s.Inner())
}

func (e *endpoint) terminate(o Outcome) {
	e.state = closed
	if e.outcome == Pending {
		e.outcome = o
	}
	e.deadline = time.Time{}
}
