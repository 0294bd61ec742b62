package main

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"
)

var (
	errEndpointReset = errors.New("reset by the endpoint")
	errSystemReset   = errors.New("reset by the system")
	errNoAnswer      = errors.New("no answer")
)

const (
	// openTimeout is how long a requester waits for the answer to its SYN, of which it sends
	// copies after the times in synCopies.
	openTimeout = 1400 * time.Millisecond
	// minRetransmit is the time after which an unacknowledged packet is sent again. It doubles
	// up to maxRetransmit.
	minRetransmit = 200 * time.Millisecond
	maxRetransmit = 1600 * time.Millisecond
	// flowLifetime is the age above which resets of a flow are not counted.
	flowLifetime = 60 * time.Second
)

var synCopies = []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}

// requester opens flows from one address.
type requester struct {
	conn   *net.UDPConn
	addr   netip.Addr
	router *router
	rec    *recorder
	mu     sync.Mutex
	flows  map[uint16]*flow
	port   uint16
	// forged counts packets that no endpoint wrote so.
	forged int
}

func newRequester(at netip.AddrPort, r *router, rec *recorder) (*requester, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, err
	}
	q := &requester{conn: conn, addr: at.Addr(), router: r, rec: rec, flows: make(map[uint16]*flow), port: 2000}
	go q.receive()
	return q, nil
}

func (q *requester) receive() {
	buf := make([]byte, 1<<16)
	for {
		n, err := q.conn.Read(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		p, ok := decode(buf[:max(n, 0)])
		if err != nil || !ok {
			continue
		}
		q.mu.Lock()
		f := q.flows[p.dst.Port()]
		q.mu.Unlock()
		if f == nil || p.src != f.to {
			continue
		}
		f.handle(p)
	}
}

// flow is a flow as its requester sees it. One goroutine at a time uses its methods.
type flow struct {
	q        *requester
	from, to netip.AddrPort
	packets  chan *packet
	// mu guards the fields below.
	mu sync.Mutex
	// reset is the kind of reset that ended the flow.
	reset error
	ended chan struct{}
	// openedAt and resetAt are when the flow was opened and reset.
	openedAt, resetAt time.Time
	echo              uint32
	// via is the VM that the last packet was sent to.
	via  string
	open bool
	// seq is the sequence number of the next byte, and ack that of the byte expected next.
	seq, ack uint32
}

// newFlow returns a flow from the next port, or from the given one if it is not 0.
func (q *requester) newFlow(to netip.AddrPort, port uint16) *flow {
	q.mu.Lock()
	defer q.mu.Unlock()
	if port == 0 {
		q.port++
		port = q.port
	}
	f := &flow{
		q: q, from: netip.AddrPortFrom(q.addr, port), to: to, packets: make(chan *packet, 64), ended: make(chan struct{}),
		seq: uint32(time.Now().UnixNano() / 4000),
	}
	q.flows[port] = f
	return f
}

// handle takes a packet for the flow.
func (f *flow) handle(p *packet) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case p.has(flagRST) && p.sum == 0 && len(p.data) == 0:
		if distance := int32(p.seq - f.ack); f.open && (distance > resetWindow || distance < -resetWindow) {
			f.q.rec.printf("flow %v: reset out of the window ignored", f.from)
			return
		}
		f.finish(errSystemReset)
	case !p.genuine():
		f.q.rec.printf("flow %v: packet that nobody wrote so: %+v", f.from, p)
		f.q.mu.Lock()
		f.q.forged++
		f.q.mu.Unlock()
	case p.has(flagRST):
		f.finish(errEndpointReset)
	default:
		f.echo = p.echo
		select {
		case f.packets <- p:
		default:
		}
	}
}

// finish records the reset of a flow. The lock must be held.
func (f *flow) finish(err error) {
	if f.reset != nil {
		return
	}
	f.reset, f.resetAt = err, time.Now()
	f.q.rec.printf("flow %v to %v (last through %s): %v", f.from, f.to, f.via, err)
	close(f.ended)
}

// resetBy returns the reset that ended the flow, or nil.
func (f *flow) resetBy() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reset
}

// resetBySystem reports whether the system has reset the flow while it was open and younger than
// flowLifetime.
func (f *flow) resetBySystem() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reset == errSystemReset && f.open && f.resetAt.Sub(f.openedAt) < flowLifetime
}

// send sends a packet of the flow through the VM that the router picks.
func (f *flow) send(flags byte, seq, ack uint32, data []byte) {
	p := &packet{flags: flags, src: f.from, dst: f.to, seq: seq, ack: ack, data: data}
	n := f.q.router.pick(p)
	f.mu.Lock()
	p.echo, f.via = f.echo, n.name
	f.mu.Unlock()
	_, _ = f.q.conn.WriteToUDPAddrPort(p.encode(), n.data)
}

// connect opens the flow.
func (f *flow) connect() error {
	start, copies := time.Now(), 0
	f.send(flagSYN, f.seq, 0, nil)
	for {
		next := openTimeout
		if copies < len(synCopies) {
			next = synCopies[copies]
		}
		select {
		case <-f.ended:
			return f.resetBy()
		case p := <-f.packets:
			if !p.has(flagSYN) || p.ack != f.seq+1 {
				continue
			}
			f.mu.Lock()
			f.seq, f.ack, f.open = f.seq+1, p.seq+1, true
			f.openedAt = time.Now()
			f.mu.Unlock()
			f.send(flagACK, f.seq, f.ack, nil)
			return nil
		case <-time.After(time.Until(start.Add(next))):
			if copies == len(synCopies) {
				return errNoAnswer
			}
			copies++
			f.send(flagSYN, f.seq, uint32(copies), nil)
		}
	}
}

// response is what a requester got for a request.
type response struct {
	status int
	// endpoint is the name of the endpoint that answered, and signature what it signed with.
	endpoint, signature string
	body                string
}

// request sends a request on the open flow and waits for the response for at most budget.
func (f *flow) request(text string, budget time.Duration) (response, error) {
	deadline := time.Now().Add(budget)
	wait := minRetransmit
	resend := time.Now().Add(wait)
	f.send(flagACK, f.seq, f.ack, []byte(text))
	var received []byte
	unacknowledged, confirmed := 0, false
	for {
		select {
		case <-f.ended:
			return response{}, f.resetBy()
		case p := <-f.packets:
			if int32(p.ack-f.seq) >= int32(len(text)) {
				confirmed = true
			}
			switch {
			case len(p.data) == 0 && !p.has(flagFIN):
			case p.seq == f.ack:
				received = append(received, p.data...)
				f.acknowledge(p.end())
				unacknowledged++
			default:
				unacknowledged = 2
			}
			got, complete := parseResponse(received)
			if complete {
				f.seq += uint32(len(text))
				f.send(flagACK, f.seq, f.ack, nil)
				return got, nil
			}
			if unacknowledged >= 2 {
				unacknowledged = 0
				f.send(flagACK, f.seq+uint32(len(text)), f.ack, nil)
			}
		case <-time.After(time.Until(resend)):
			if wait = min(2*wait, maxRetransmit); !confirmed {
				f.send(flagACK, f.seq, f.ack, []byte(text))
			}
			resend = time.Now().Add(wait)
		case <-time.After(time.Until(deadline)):
			return response{}, errNoAnswer
		}
	}
}

// acknowledge records that everything before a sequence number has been received.
func (f *flow) acknowledge(next uint32) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ack = next
}

// close closes the flow from both sides, and reports whether the endpoint has closed it too.
func (f *flow) close() bool {
	wait := minRetransmit
	for range 4 {
		f.send(flagFIN|flagACK, f.seq, f.ack, nil)
		deadline := time.After(wait)
		for waiting := true; waiting; {
			select {
			case <-f.ended:
				return false
			case p := <-f.packets:
				if p.has(flagFIN) && p.seq == f.ack {
					f.acknowledge(p.end())
					f.seq++
					f.send(flagACK, f.seq, f.ack, nil)
					f.forget()
					return true
				}
			case <-deadline:
				waiting = false
			}
		}
		wait *= 2
	}
	f.forget()
	return false
}

// forget frees the port of the flow.
func (f *flow) forget() {
	f.q.mu.Lock()
	defer f.q.mu.Unlock()
	if f.q.flows[f.from.Port()] == f {
		delete(f.q.flows, f.from.Port())
	}
}

// requestText returns an HTTP request with its own id. The endpoint works on it for work.
func requestText(method, id string, work time.Duration) string {
	return fmt.Sprintf("%s /item?work=%d HTTP/1.1\r\nHost: stand\r\nX-Laburnumhollow-Request-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n",
		method, work.Milliseconds(), id)
}

// parseResponse parses a response, and reports whether it is complete.
func parseResponse(b []byte) (response, bool) {
	head, body, ok := strings.Cut(string(b), "\r\n\r\n")
	if !ok {
		return response{}, false
	}
	var r response
	length := 0
	for i, line := range strings.Split(head, "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		switch {
		case i == 0:
			r.status, _ = strconv.Atoi(strings.Fields(line)[1])
		case name == "Content-Length":
			length, _ = strconv.Atoi(value)
		case name == "X-Laburnumhollow-Response-Signature":
			r.signature = value
		case name == "X-Laburnumhollow-Instance-Id":
			r.endpoint = value
		}
	}
	r.body = body
	return r, len(body) >= length
}
