package main

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	lhplatformstand "github.com/laburnumhollow/laburnumhollow/platform/stand"
)

const (
	// queueLength is the number of requests that wait at an endpoint for a slot.
	queueLength = 8
	// maxRetransmissions is the number of retransmissions after which an endpoint gives up.
	maxRetransmissions = 8
	// halfOpenLifetime is how long an endpoint waits for the end of a handshake.
	halfOpenLifetime = 5 * time.Second
)

// endpoint is a backend server. It runs requests in slots and answers requesters directly.
type endpoint struct {
	id         uint64
	name       string
	service    string
	zone       string
	conn       *net.UDPConn
	callerPort uint16
	slots      int
	maxConns   int
	born       int64
	rec        *recorder

	mu       sync.Mutex
	sequence int
	draining bool
	flows    map[netip.AddrPort]*endpointFlow
	busy     int
	waiting  []*job
	// opened holds the arrival times of the packets that opened flows, by requester.
	opened map[netip.AddrPort]time.Time
	// runs counts how often each request has run.
	runs map[string]int
	// forged counts packets that no requester wrote so, foreign those for another endpoint.
	forged, foreign int
	closed          bool
}

// endpointFlow is a flow as its endpoint sees it.
type endpointFlow struct {
	from, to netip.AddrPort
	state    flowState
	since    time.Time
	echo     uint32
	// expected is the sequence number of the next byte of the requester, next that of the
	// next byte of the endpoint.
	expected, next uint32
	isn            uint32
	received       []byte
	unanswered     int
	// sent holds packets that have not been acknowledged.
	sent        []*packet
	resendAt    time.Time
	resendWait  time.Duration
	resendCount int
}

// flowState is the state of an endpointFlow.
type flowState uint8

const (
	halfOpen flowState = iota
	established
	finished
)

// job is a request that runs or waits.
type job struct {
	flow *endpointFlow
	id   string
	work time.Duration
}

func newEndpoint(at netip.AddrPort, id uint64, service, zone string, callerPort uint16, slots, maxConns int, rec *recorder) (*endpoint, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(4 << 20)
	s := &endpoint{
		id: id, name: fmt.Sprintf("i-%08x", id), service: service, zone: zone, conn: conn, callerPort: callerPort, slots: slots,
		maxConns: maxConns, born: time.Now().UnixMilli(), rec: rec, flows: make(map[netip.AddrPort]*endpointFlow),
		opened: make(map[netip.AddrPort]time.Time), runs: make(map[string]int),
	}
	go s.receive()
	go s.retransmit()
	return s, nil
}

// register writes the endpoint's entry in the store.
func (s *endpoint) register(store *lhplatformstand.Store, state string) {
	s.mu.Lock()
	s.sequence++
	s.draining = state == "draining"
	entry, _ := json.Marshal(map[string]any{
		"service": s.service, "address": s.conn.LocalAddr().String(), "zone": s.zone, "version": "v1", "capacity": s.slots,
		"state": state, "warmup_remaining_ms": 0, "sequence": s.sequence, "born": s.born,
	})
	s.mu.Unlock()
	store.Put("servers/"+s.name, entry)
	s.rec.printf("endpoint %s of %s reports %s", s.name, s.service, state)
}

func (s *endpoint) receive() {
	buf := make([]byte, 1<<16)
	for {
		n, err := s.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil || n < targetSize {
			continue
		}
		p, ok := decode(buf[targetSize:n])
		target := binary.BigEndian.Uint64(buf)
		s.mu.Lock()
		switch {
		case target != 0 && target != s.id:
			s.foreign++
		case !ok || !p.genuine() || p.has(flagSYN) && p.has(flagACK):
			s.forged++
			s.rec.printf("endpoint %s: packet that nobody wrote so", s.name)
		default:
			s.handle(p)
		}
		s.mu.Unlock()
	}
}

// handle takes a packet of a requester. The lock must be held.
func (s *endpoint) handle(p *packet) {
	f := s.flows[p.src]
	if f != nil && (f.to != p.dst || p.has(flagSYN) && f.isn != p.seq && f.state != established) {
		f = nil
	}
	switch {
	case p.has(flagSYN):
		s.handleSYN(f, p)
	case p.has(flagRST):
		delete(s.flows, p.src)
	case f == nil || f.state == halfOpen && p.ack != f.next:
		s.reply(p, flagRST, p.ack, p.seq)
	case f.state == finished && p.has(flagFIN):
		s.reply(p, flagACK, f.next, p.end())
	case f.state == finished && len(p.data) > 0:
		s.reply(p, flagRST, p.ack, p.seq)
	case f.state == finished:
	default:
		s.handleOpen(f, p)
	}
}

// handleSYN answers a SYN unless the endpoint is full. The lock must be held.
func (s *endpoint) handleSYN(f *endpointFlow, p *packet) {
	if f == nil {
		if s.openFlows() >= s.maxConns {
			s.rec.printf("endpoint %s is full: SYN of %v dropped", s.name, p.src)
			return
		}
		f = &endpointFlow{from: p.src, to: p.dst, since: time.Now(), isn: p.seq, expected: p.seq + 1, next: rand.Uint32()}
		s.flows[p.src] = f
		f.next++
	}
	if f.state != halfOpen || f.isn != p.seq {
		return
	}
	f.echo = p.echo
	s.reply(p, flagSYN|flagACK, f.next-1, f.expected)
}

// openFlows returns the number of open flows. The lock must be held.
func (s *endpoint) openFlows() int {
	sum := 0
	for _, f := range s.flows {
		if f.state == established {
			sum++
		}
	}
	return sum
}

// handleOpen takes a packet of a flow that is open or opens now. The lock must be held.
func (s *endpoint) handleOpen(f *endpointFlow, p *packet) {
	if f.state == halfOpen {
		f.state, f.since = established, time.Now()
		s.opened[f.from] = f.since
	}
	f.echo = p.echo
	f.acknowledged(p.ack)
	if p.seq != f.expected {
		if len(p.data) > 0 || p.has(flagFIN) {
			// The packet has been received before, or one before it is missing.
			if f.unanswered == 0 {
				s.send(f, &packet{flags: flagACK, seq: f.next})
			}
		}
		return
	}
	f.expected = p.end()
	f.received = append(f.received, p.data...)
	if p.has(flagFIN) {
		s.queue(f, &packet{flags: flagFIN | flagACK, seq: f.next})
		f.next++
		f.state = finished
		return
	}
	head, rest, ok := strings.Cut(string(f.received), "\r\n\r\n")
	if !ok {
		return
	}
	f.received = []byte(rest)
	s.accept(f, head)
}

// accept runs a request, queues it or rejects it. The lock must be held.
func (s *endpoint) accept(f *endpointFlow, head string) {
	j := &job{flow: f}
	for _, line := range strings.Split(head, "\r\n") {
		if id, ok := strings.CutPrefix(line, "X-Laburnumhollow-Request-Attempt-Id: "); ok {
			j.id = id
		}
	}
	if _, text, ok := strings.Cut(head, "work="); ok {
		n, _ := strconv.Atoi(strings.Fields(text)[0])
		j.work = time.Duration(n) * time.Millisecond
	}
	f.unanswered++
	switch {
	case s.busy < s.slots:
		s.start(j)
	case len(s.waiting) < queueLength:
		s.waiting = append(s.waiting, j)
	default:
		s.answer(j, "503 Busy", "X-Laburnumhollow-Not-Executed: 1\r\n")
	}
}

// start runs a request in a slot. The lock must be held.
func (s *endpoint) start(j *job) {
	s.busy++
	s.runs[j.id]++
	s.rec.printf("endpoint %s of %s runs %s of %v", s.name, s.service, j.id, j.flow.from)
	time.AfterFunc(j.work, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.busy--
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.start(next)
		}
		s.answer(j, "200 OK", "X-Laburnumhollow-Response-Signature: "+s.name+"/"+j.id+"\r\n")
	})
}

// answer sends the response to a request. The lock must be held.
func (s *endpoint) answer(j *job, status, header string) {
	body := "answer to " + j.id
	text := fmt.Sprintf("HTTP/1.1 %s\r\n%sX-Laburnumhollow-Instance-Id: %s\r\nContent-Length: %d\r\n\r\n%s", status, header, s.name, len(body), body)
	f := j.flow
	f.unanswered--
	if f.state != established {
		return
	}
	s.queue(f, &packet{flags: flagACK, seq: f.next, data: []byte(text)})
	f.next += uint32(len(text))
	if s.draining {
		s.queue(f, &packet{flags: flagFIN | flagACK, seq: f.next})
		f.next++
		f.state = finished
	}
}

// queue sends a packet until it is acknowledged. The lock must be held.
func (s *endpoint) queue(f *endpointFlow, p *packet) {
	if len(f.sent) == 0 {
		f.resendWait, f.resendCount = minRetransmit, 0
		f.resendAt = time.Now().Add(f.resendWait)
	}
	f.sent = append(f.sent, p)
	s.send(f, p)
}

// acknowledged removes the packets that the requester has acknowledged.
func (f *endpointFlow) acknowledged(ack uint32) {
	for len(f.sent) > 0 && int32(ack-f.sent[0].end()) >= 0 {
		f.sent = f.sent[1:]
		f.resendCount = 0
	}
}

// send sends a packet of a flow. The lock must be held.
func (s *endpoint) send(f *endpointFlow, p *packet) {
	q := *p
	q.src, q.dst, q.echo, q.ack = f.to, f.from, f.echo, f.expected
	_, _ = s.conn.WriteToUDPAddrPort(q.encode(), netip.AddrPortFrom(f.from.Addr(), s.callerPort))
}

// reply answers a packet without a flow.
func (s *endpoint) reply(p *packet, flags byte, seq, ack uint32) {
	q := packet{flags: flags, src: p.dst, dst: p.src, echo: p.echo, seq: seq, ack: ack}
	_, _ = s.conn.WriteToUDPAddrPort(q.encode(), netip.AddrPortFrom(p.src.Addr(), s.callerPort))
}

// retransmit sends packets again that have not been acknowledged, until the endpoint is closed.
func (s *endpoint) retransmit() {
	for {
		time.Sleep(20 * time.Millisecond)
		s.mu.Lock()
		now := time.Now()
		for from, f := range s.flows {
			if f.state == halfOpen && now.Sub(f.since) > halfOpenLifetime {
				delete(s.flows, from)
			}
			if len(f.sent) == 0 || now.Before(f.resendAt) {
				continue
			}
			if f.resendCount++; f.resendCount > maxRetransmissions {
				f.sent = nil
				continue
			}
			f.resendWait = min(2*f.resendWait, maxRetransmit)
			f.resendAt = now.Add(f.resendWait)
			for _, p := range f.sent {
				s.send(f, p)
			}
		}
		closed := s.closed
		s.mu.Unlock()
		if closed {
			return
		}
	}
}

func (s *endpoint) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	_ = s.conn.Close()
}
