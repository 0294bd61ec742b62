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

// BackendServer simulates a backend server of one service. It answers requests over
// TCP and echoes UDP datagrams. The zero BackendServer is ready to start.
type BackendServer struct {
	// Name and Service are sent in each response.
	Name    string
	Service string
	// Seed seeds the initial sequence numbers and the choice of the entry VM that
	// receives each packet.
	Seed uint64
	// Slots is the maximum number of concurrent requests; 0 means no limit. Feeds
	// occupy no slot.
	Slots int
	// Serve handles a connection instead of the default request handler. It must
	// return when the connection is Done.
	Serve func(c *Conn)

	tunnel *geneveSocket
	stack  stack
	ctx    context.Context
	// slots holds a token for each request in progress; nil means no limit.
	slots chan struct{}
	// connections counts the goroutines that serve connections and load reports.
	connections sync.WaitGroup
	done        chan error

	mu       sync.Mutex
	behavior Behavior
	counts   ServerCounts
	// executions counts how many times each request was started, by ID.
	executions map[string]int
	// frozenReport is the report that ReportFrozen repeats.
	frozenReport *Report
}

// Behavior configures a backend server. It may change while the server runs.
type Behavior struct {
	// DropPackets drops every packet, like a failed VM.
	DropPackets bool
	// RefuseConnections answers each SYN with a RST, like a draining server.
	RefuseConnections bool
	// MaxFlows is the number of flows at which further SYNs are answered with a RST to
	// shed load; 0 means no limit.
	MaxFlows int
	// ServiceTime is the time for which a request occupies its slot.
	ServiceTime time.Duration
	// ReportMode selects the content of the load report.
	ReportMode ReportMode
}

// ServerCounts contains the event counts of a backend server.
type ServerCounts struct {
	// SYNs counts SYNs, including retransmissions. Accepted and Refused count
	// connections.
	SYNs, Accepted, Refused int
	// UnmatchedSegments counts segments that match no connection.
	UnmatchedSegments int
	// DataPackets counts packets with a payload.
	DataPackets int
	// Started, Finished and Canceled count requests. Started includes the canceled ones.
	Started, Finished, Canceled int
	// Datagrams counts UDP datagrams.
	Datagrams int
}

// Start opens the server's socket and runs the server until the context ends.
func (s *BackendServer) Start(ctx context.Context, address netip.AddrPort) error {
	p, err := openGeneveSocket(address, s.Seed)
	if err != nil {
		return err
	}
	s.tunnel = p
	s.ctx = ctx
	s.done = make(chan error, 1)
	s.executions = make(map[string]int)
	if s.Slots > 0 {
		s.slots = make(chan struct{}, s.Slots)
	}
	s.stack.source = lhflow.FromCaller
	s.stack.transmit = s.transmit
	s.stack.unmatched = s.receiveUnmatched
	go p.run(ctx, s.receive, s.stack.runTimers)
	go func() {
		err := <-p.done
		s.connections.Wait()
		s.done <- err
	}()
	return nil
}

// Done returns a channel that receives the server's error, or nil, when the server
// and all its connections have ended.
func (s *BackendServer) Done() <-chan error { return s.done }

// Address returns the address at which the server receives Geneve packets.
func (s *BackendServer) Address() netip.AddrPort { return s.tunnel.address() }

// SetMembers sets the data addresses of the entry VMs that receive the server's
// packets.
func (s *BackendServer) SetMembers(members ...netip.AddrPort) { s.tunnel.setMembers(members) }

// SetFaults sets the faults injected between the server and the entry VMs in both
// directions.
func (s *BackendServer) SetFaults(faults Faults) {
	s.tunnel.inbound.setFaults(faults)
	s.tunnel.outbound.setFaults(faults)
}

// UpdateBehavior applies change to the server's behavior.
func (s *BackendServer) UpdateBehavior(change func(*Behavior)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.behavior)
}

// Restart discards all connections, like a server that has restarted.
func (s *BackendServer) Restart() { s.stack.clear() }

// Counts returns the event counts.
func (s *BackendServer) Counts() ServerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Flows returns the number of connections.
func (s *BackendServer) Flows() int { return s.stack.size() }

// Executions returns how many times a request was started.
func (s *BackendServer) Executions(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.executions[id]
}

// AllExecutions returns how many times each request was started, by ID.
func (s *BackendServer) AllExecutions() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := make(map[string]int, len(s.executions))
	for id, n := range s.executions {
		runs[id] = n
	}
	return runs
}

func (s *BackendServer) currentBehavior() Behavior {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.behavior
}

func (s *BackendServer) updateCounts(change func(*ServerCounts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counts)
}

// receive handles a packet from an entry VM.
func (s *BackendServer) receive(now time.Time, p *lhwire.Packet) {
	if s.currentBehavior().DropPackets {
		return
	}
	if p.PayloadLen() > 0 {
		s.updateCounts(func(c *ServerCounts) { c.DataPackets++ })
	}
	if isSYN(p) {
		s.updateCounts(func(c *ServerCounts) { c.SYNs++ })
	}
	s.stack.receive(now, p)
}

func isSYN(p *lhwire.Packet) bool {
	return p.Flags()&(lhflow.SYN|lhflow.ACK|lhflow.RST) == lhflow.SYN
}

func (s *BackendServer) transmit(_ lhflow.Key, inner []byte) {
	if s.currentBehavior().DropPackets {
		return
	}
	if vm, ok := s.tunnel.randomMember(); ok {
		s.tunnel.send(inner, vm)
	}
}

// receiveUnmatched handles a packet that matches no connection.
func (s *BackendServer) receiveUnmatched(now time.Time, p *lhwire.Packet) {
	switch {
	case p.IsICMPError():
	case p.Proto() == lhflow.UDP:
		s.echo(p)
	case !isSYN(p):
		s.updateCounts(func(c *ServerCounts) { c.UnmatchedSegments++ })
		s.sendReset(p)
	case s.refusesConnections():
		s.updateCounts(func(c *ServerCounts) { c.Refused++ })
		s.sendReset(p)
	default:
		s.accept(now, p)
	}
}

func (s *BackendServer) refusesConnections() bool {
	b := s.currentBehavior()
	return b.RefuseConnections || b.MaxFlows > 0 && s.stack.size() >= b.MaxFlows
}

func (s *BackendServer) sendReset(p *lhwire.Packet) {
	if inner := lhwire.ResetToCaller(p); inner != nil {
		s.transmit(lhflow.Key{}, inner)
	}
}

// echo responds to a datagram with the service, the server's name and the data.
func (s *BackendServer) echo(p *lhwire.Packet) {
	s.updateCounts(func(c *ServerCounts) { c.Datagrams++ })
	data := fmt.Appendf(nil, replyFormat, s.Service, s.Name, p.Payload())
	answer := lhwire.Datagram{From: p.Destination(), To: p.Source(), Data: data}
	s.transmit(lhflow.Key{}, answer.Inner())
}

// accept accepts the connection of a SYN and serves it.
func (s *BackendServer) accept(now time.Time, p *lhwire.Packet) {
	key := p.Key(lhflow.FromCaller)
	c := newConn(s.ctx, &s.stack, key, newEndpoint(p.Destination(), p.Source(), s.tunnel.randomUint32()))
	if !s.stack.add(key, c) {
		return
	}
	s.updateCounts(func(n *ServerCounts) { n.Accepted++ })
	c.update(func(e *endpoint) { e.acceptSYN(now, p) })
	s.connections.Add(1)
	go func() {
		defer s.connections.Done()
		s.serve(c)
	}()
}

// serve handles the requests of a connection until the caller closes it.
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
		if s.handleRequest(c, r) != nil {
			return
		}
	}
}

// handleRequest executes a request. The error of a canceled request is the
// connection's outcome.
func (s *BackendServer) handleRequest(c *Conn, r Request) error {
	s.recordStart(r)
	err := s.execute(c, r)
	s.updateCounts(func(n *ServerCounts) {
		if err != nil {
			n.Canceled++
			return
		}
		n.Finished++
	})
	return err
}

func (s *BackendServer) recordStart(r Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Started++
	s.executions[r.ID]++
}

func (s *BackendServer) execute(c *Conn, r Request) error {
	if r.Lines > 0 {
		return s.writeFeed(c, r)
	}
	if err := s.occupySlot(c); err != nil {
		return err
	}
	if err := s.writeHeader(c, r); err != nil {
		return err
	}
	_, err := io.WriteString(c, r.body())
	return err
}

func (s *BackendServer) writeHeader(c *Conn, r Request) error {
	_, err := fmt.Fprintf(c, replyFormat, s.Service, s.Name, r.ID)
	return err
}

// occupySlot occupies a slot for the processing time of a request.
func (s *BackendServer) occupySlot(c *Conn) error {
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
			defer func() { <-s.slots }()
		case <-c.Done():
			return c.Outcome()
		}
	}
	return sleepWhileOpen(c, s.currentBehavior().ServiceTime)
}

// writeFeed sends the header and the lines of a feed.
func (s *BackendServer) writeFeed(c *Conn, r Request) error {
	if err := s.writeHeader(c, r); err != nil {
		return err
	}
	for number := range r.Lines {
		if err := sleepWhileOpen(c, r.Interval); err != nil {
			return err
		}
		if _, err := io.WriteString(c, r.feedLine(number)); err != nil {
			return err
		}
	}
	return nil
}

// sleepWhileOpen waits for d, or returns the outcome if the connection ends first.
func sleepWhileOpen(c *Conn, d time.Duration) error {
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
