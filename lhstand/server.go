package lhstand

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// BackendServer stands in for a backend server of one service. It answers
// requests, and echoes UDP datagrams. Its zero value can be started.
type BackendServer struct {
	// Name and Service are given in each answer.
	Name    string
	Service string
	// Seed sets initial sequence numbers and the entry VMs that answers go to.
	Seed uint64
	// Slots is how many requests are carried out at a time; 0 is no limit. Feeds
	// take no slot.
	Slots int
	// Serve handles a connection until it ends; nil answers requests. It must
	// return when the connection is Done.
	Serve func(c *Conn)

	port  *port
	stack stack
	ctx   context.Context
	// slots holds a token for each request that is carried out; nil for no limit.
	slots chan struct{}
	// serving counts the goroutines that serve connections.
	serving sync.WaitGroup
	done    chan error

	mu       sync.Mutex
	behavior Behavior
	counts   ServerCounts
	// runs counts how often each request was begun, by ID.
	runs map[string]int
	// frozen is the report that ReportFrozen repeats.
	frozen *Report
}

// Behavior is what a backend server does; it may change while it runs.
type Behavior struct {
	// Silent drops every packet, as a dead VM does.
	Silent bool
	// Refusing answers each SYN with a RST, as while draining.
	Refusing bool
	// MaxFlows sheds load: further SYNs are answered with a RST; 0 is no limit.
	MaxFlows int
	// Work is how long a request takes in its slot.
	Work time.Duration
	// Report is how the load report relates to the truth.
	Report ReportMode
}

// ServerCounts are what a backend server has seen.
type ServerCounts struct {
	// SYNs counts SYNs, repeated ones included; Accepted the connections.
	SYNs, Accepted, Refused int
	// Unknown counts segments of connections that the server does not hold.
	Unknown int
	// Data counts packets with payload.
	Data int
	// Begun, Finished and Canceled count requests; a canceled one was begun.
	Begun, Finished, Canceled int
	// Datagrams counts UDP datagrams.
	Datagrams int
}

// Start opens the server's socket and runs until the context ends.
func (s *BackendServer) Start(ctx context.Context, address netip.AddrPort) error {
	p, err := openPort(address, s.Seed)
	if err != nil {
		return err
	}
	s.port = p
	s.ctx = ctx
	s.done = make(chan error, 1)
	s.runs = make(map[string]int)
	if s.Slots > 0 {
		s.slots = make(chan struct{}, s.Slots)
	}
	s.stack.source = lhflow.FromCaller
	s.stack.transmit = s.transmit
	s.stack.unknown = s.unknown
	go p.run(ctx, s.receive, s.stack.sweep)
	go func() {
		err := <-p.done
		s.serving.Wait()
		s.done <- err
	}()
	return nil
}

// Done gives the server's first error, or nil, when it and all that it served
// have ended.
func (s *BackendServer) Done() <-chan error { return s.done }

// Address returns where the server receives Geneve packets.
func (s *BackendServer) Address() netip.AddrPort { return s.port.address() }

// SetMembers sets the data addresses of the entry VMs that answers go to.
func (s *BackendServer) SetMembers(members ...netip.AddrPort) { s.port.setMembers(members) }

// SetFaults sets what happens to packets between the server and the entry VMs, in
// both directions.
func (s *BackendServer) SetFaults(faults Faults) {
	s.port.in.setFaults(faults)
	s.port.out.setFaults(faults)
}

// Set changes the server's behavior.
func (s *BackendServer) Set(change func(*Behavior)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.behavior)
}

// Restart forgets all connections, as a server that was started anew does.
func (s *BackendServer) Restart() { s.stack.clear() }

// Counts returns what the server has seen.
func (s *BackendServer) Counts() ServerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Flows returns how many connections the server holds.
func (s *BackendServer) Flows() int { return s.stack.size() }

// Runs returns how often a request was begun.
func (s *BackendServer) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// AllRuns returns how often each request was begun, by ID.
func (s *BackendServer) AllRuns() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.runs))
	for id, n := range s.runs {
		runs[id] = n
	}
	return runs
}

func (s *BackendServer) now() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

func (s *BackendServer) count(change func(*ServerCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

// receive handles a packet from an entry VM.
func (s *BackendServer) receive(now time.Time, p *lhwire.Packet) {
	if s.now().Silent {
		return
	}
	if p.PayloadLen() > 0 {
		s.count(func(c *ServerCounts) { c.Data++ })
	}
	if isSYN(p) {
		s.count(func(c *ServerCounts) { c.SYNs++ })
	}
	s.stack.receive(now, p)
}

func isSYN(p *lhwire.Packet) bool {
	return p.Flags()&(lhflow.SYN|lhflow.ACK|lhflow.RST) == lhflow.SYN
}

func (s *BackendServer) transmit(_ lhflow.Key, inner []byte) {
	if s.now().Silent {
		return
	}
	if vm, ok := s.port.choose(); ok {
		s.port.send(inner, vm)
	}
}

// unknown handles a packet of a flow that the server does not hold.
func (s *BackendServer) unknown(now time.Time, p *lhwire.Packet) {
	switch {
	case p.IsICMPError():
	case p.Proto() == lhflow.UDP:
		s.echo(p)
	case !isSYN(p):
		s.count(func(c *ServerCounts) { c.Unknown++ })
		s.reset(p)
	case s.refuses():
		s.count(func(c *ServerCounts) { c.Refused++ })
		s.reset(p)
	default:
		s.accept(now, p)
	}
}

func (s *BackendServer) refuses() bool {
	b := s.now()
	return b.Refusing || b.MaxFlows > 0 && s.stack.size() >= b.MaxFlows
}

func (s *BackendServer) reset(p *lhwire.Packet) {
	if inner := lhwire.ResetToCaller(p); inner != nil {
		s.transmit(lhflow.Key{}, inner)
	}
}

// echo answers a datagram with the server's name, its service and the data.
func (s *BackendServer) echo(p *lhwire.Packet) {
	s.count(func(c *ServerCounts) { c.Datagrams++ })
	data := fmt.Appendf(nil, replyFormat, s.Service, s.Name, p.Payload())
	answer := lhwire.Datagram{From: p.Destination(), To: p.Source(), Data: data}
	s.transmit(lhflow.Key{}, answer.Inner())
}

// accept opens a connection and serves it.
func (s *BackendServer) accept(now time.Time, p *lhwire.Packet) {
	key := p.Key(lhflow.FromCaller)
	c := newConn(s.ctx, &s.stack, key, newEndpoint(p.Destination(), p.Source(), s.port.number()))
	if !s.stack.add(key, c) {
		return
	}
	s.count(func(n *ServerCounts) { n.Accepted++ })
	c.do(func(e *endpoint) { e.accept(now, p) })
	s.serving.Add(1)
	go func() {
		defer s.serving.Done()
		s.serve(c)
	}()
}

// serve handles a connection until its caller closes it.
func (s *BackendServer) serve(c *Conn) {
	if s.Serve != nil {
		s.Serve(c)
		return
	}
	defer c.Close()
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		r, err := parseRequest(lines.Text() + "\n")
		if err != nil {
			c.Abort()
			return
		}
		if s.answer(c, r) != nil {
			return
		}
	}
}

// answer carries out a request. A canceled one ends with the connection's outcome.
func (s *BackendServer) answer(c *Conn, r Request) error {
	s.begin(r)
	err := s.carryOut(c, r)
	s.count(func(n *ServerCounts) {
		if err != nil {
			n.Canceled++
			return
		}
		n.Finished++
	})
	return err
}

func (s *BackendServer) begin(r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Begun++
	s.runs[r.ID]++
}

func (s *BackendServer) carryOut(c *Conn, r Request) error {
	if r.Lines > 0 {
		return s.feed(c, r)
	}
	if err := s.work(c); err != nil {
		return err
	}
	if err := s.head(c, r); err != nil {
		return err
	}
	_, err := io.WriteString(c, r.body())
	return err
}

func (s *BackendServer) head(c *Conn, r Request) error {
	_, err := fmt.Fprintf(c, replyFormat, s.Service, s.Name, r.ID)
	return err
}

// work takes a slot for the time that a request needs.
func (s *BackendServer) work(c *Conn) error {
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-c.Done():
			return c.Outcome()
		}
	}
	return pause(c, s.now().Work)
}

// feed sends the lines of a feed.
func (s *BackendServer) feed(c *Conn, r Request) error {
	if err := s.head(c, r); err != nil {
		return err
	}
	for number := range r.Lines {
		if err := pause(c, r.Gap); err != nil {
			return err
		}
		if _, err := io.WriteString(c, r.line(number)); err != nil {
			return err
		}
	}
	return nil
}

// pause waits unless the connection ends before.
func pause(c *Conn, d time.Duration) error {
	if d == 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-c.Done():
		return c.Outcome()
	}
}
