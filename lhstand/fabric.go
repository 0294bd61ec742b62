package lhstand

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// Fabric simulates the network fabric and the callers behind it. The zero Fabric is
// ready to start.
type Fabric struct {
	// Seed seeds the random choice of entry VMs. Set it before Start.
	Seed uint64
	// CountPerFlow enables the per-flow packet counts returned by PacketsByVM. Set it
	// before Start.
	CountPerFlow bool

	tunnel *geneveSocket
	stack  stack
	// reservedCallers is the number of callers allocated so far.
	reservedCallers atomic.Int64

	mu sync.Mutex
	// packetsByFlow counts packets by flow and entry VM.
	packetsByFlow map[lhflow.Key]map[netip.AddrPort]int
	// packetsByVM counts packets by entry VM.
	packetsByVM map[netip.AddrPort]int
}

// Start opens the fabric's socket and runs the fabric until the context ends.
func (f *Fabric) Start(ctx context.Context, address netip.AddrPort) error {
	p, err := openGeneveSocket(address, f.Seed)
	if err != nil {
		return err
	}
	f.tunnel = p
	f.packetsByFlow = make(map[lhflow.Key]map[netip.AddrPort]int)
	f.packetsByVM = make(map[netip.AddrPort]int)
	f.stack.source = lhflow.FromServer
	f.stack.transmit = f.transmit
	f.stack.unmatched = f.resetUnmatched
	go p.run(ctx, f.stack.receive, f.stack.runTimers)
	return nil
}

// Done returns a channel that receives the fabric's error, or nil, when it has
// stopped.
func (f *Fabric) Done() <-chan error { return f.tunnel.done }

// Address returns the address at which the fabric receives packets for callers.
func (f *Fabric) Address() netip.AddrPort { return f.tunnel.address() }

// SetMembers sets the data addresses of the entry VMs that receive packets.
func (f *Fabric) SetMembers(members ...netip.AddrPort) { f.tunnel.setMembers(members) }

// SetFaults sets the faults injected between the fabric and the entry VMs in both
// directions.
func (f *Fabric) SetFaults(faults Faults) {
	f.tunnel.inbound.setFaults(faults)
	f.tunnel.outbound.setFaults(faults)
}

// PacketsByVM returns the number of packets of a flow sent to each entry VM.
func (f *Fabric) PacketsByVM(key lhflow.Key) map[netip.AddrPort]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[netip.AddrPort]int, len(f.packetsByFlow[key]))
	for vm, n := range f.packetsByFlow[key] {
		counts[vm] = n
	}
	return counts
}

// PacketsTo returns the number of packets sent to an entry VM.
func (f *Fabric) PacketsTo(vm netip.AddrPort) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.packetsByVM[vm]
}

// Dial opens a connection from a caller to a service. The connection is reset when
// the context ends. If the connection can't be established, the error is an Outcome.
func (f *Fabric) Dial(ctx context.Context, caller, service netip.AddrPort) (*Conn, error) {
	key := lhflow.NewKey(lhflow.TCP, caller, service)
	c := newConn(ctx, &f.stack, key, newEndpoint(caller, service, f.tunnel.randomUint32()))
	if !f.stack.add(key, c) {
		return nil, lhcode.Newf(lhcode.Usage, "caller %v already has a connection to %v", caller, service)
	}
	c.update(func(e *endpoint) { e.connect(time.Now()) })
	if err := c.waitOpen(); err != nil {
		return nil, err
	}
	return c, nil
}

// ExchangeDatagram sends a UDP datagram from a caller to a service and returns the
// response. The error is Refused if an ICMP error came back, and TimedOut if the
// context ended first.
func (f *Fabric) ExchangeDatagram(ctx context.Context, caller, service netip.AddrPort, data []byte) ([]byte, error) {
	key := lhflow.NewKey(lhflow.UDP, caller, service)
	e := udpExchange{answers: make(chan udpReply, 1)}
	if !f.stack.add(key, e) {
		return nil, lhcode.Newf(lhcode.Usage, "caller %v already has a pending datagram to %v", caller, service)
	}
	defer f.stack.remove(key, e)
	f.transmit(key, lhwire.Datagram{From: caller, To: service, Data: data}.Inner())
	select {
	case a := <-e.answers:
		return a.data, a.err
	case <-ctx.Done():
		return nil, TimedOut
	}
}

// udpExchange is a UDP datagram whose response is pending.
type udpExchange struct{ answers chan udpReply }

type udpReply struct {
	data []byte
	err  error
}

// receive delivers the first response and discards later ones.
func (e udpExchange) receive(_ time.Time, p *lhwire.Packet) {
	a := udpReply{data: append([]byte(nil), p.Payload()...)}
	if p.IsICMPError() {
		a = udpReply{err: Refused}
	}
	select {
	case e.answers <- a:
	default:
	}
}

// NextCaller returns a caller that neither a load nor an earlier call has used.
func (f *Fabric) NextCaller() netip.AddrPort {
	return callerAddress(DefaultCallers, f.reserveCallers(1))
}

// reserveCallers allocates callers for a number of flows and returns the number of
// the first.
func (f *Fabric) reserveCallers(flows int) int {
	return int(f.reservedCallers.Add(int64(flows))) - flows
}

// transmit sends a packet to a random entry VM.
func (f *Fabric) transmit(key lhflow.Key, inner []byte) {
	vm, ok := f.tunnel.randomMember()
	if !ok {
		return
	}
	f.countPacket(key, vm)
	f.tunnel.send(inner, vm)
}

func (f *Fabric) countPacket(key lhflow.Key, vm netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.packetsByVM[vm]++
	if !f.CountPerFlow {
		return
	}
	if f.packetsByFlow[key] == nil {
		f.packetsByFlow[key] = make(map[netip.AddrPort]int)
	}
	f.packetsByFlow[key][vm]++
}

// resetUnmatched answers a segment that matches no connection with a RST, like the
// TCP stack of a caller.
func (f *Fabric) resetUnmatched(_ time.Time, p *lhwire.Packet) {
	if inner := lhwire.ResetToCaller(p); inner != nil {
		f.transmit(p.Key(lhflow.FromServer), inner)
	}
}
