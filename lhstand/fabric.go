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

// Fabric stands in for the fabric and the callers behind it. Its zero value can
// be started.
type Fabric struct {
	// Seed sets the order in which entry VMs are chosen. Set it before Start.
	Seed uint64
	// CountFlows makes the fabric count the packets of each flow for VMs. Set it
	// before Start.
	CountFlows bool

	port  *port
	stack stack
	// reserved is how many flows loads have taken callers for.
	reserved atomic.Int64

	mu sync.Mutex
	// sent counts packets by flow and entry VM.
	sent map[lhflow.Key]map[netip.AddrPort]int
	// perVM counts packets by entry VM.
	perVM map[netip.AddrPort]int
}

// Start opens the fabric's socket and runs until the context ends.
func (f *Fabric) Start(ctx context.Context, address netip.AddrPort) error {
	p, err := openPort(address, f.Seed)
	if err != nil {
		return err
	}
	f.port = p
	f.sent = make(map[lhflow.Key]map[netip.AddrPort]int)
	f.perVM = make(map[netip.AddrPort]int)
	f.stack.source = lhflow.FromServer
	f.stack.transmit = f.transmit
	f.stack.unknown = f.unknown
	go p.run(ctx, f.stack.receive, f.stack.sweep)
	return nil
}

// Done gives the fabric's first error, or nil, when it has ended.
func (f *Fabric) Done() <-chan error { return f.port.done }

// Address returns where the fabric receives packets for callers.
func (f *Fabric) Address() netip.AddrPort { return f.port.address() }

// SetMembers sets the data addresses of the entry VMs that get packets.
func (f *Fabric) SetMembers(members ...netip.AddrPort) { f.port.setMembers(members) }

// SetFaults sets what happens to packets between the fabric and the entry VMs, in
// both directions.
func (f *Fabric) SetFaults(faults Faults) {
	f.port.in.setFaults(faults)
	f.port.out.setFaults(faults)
}

// VMs returns how many packets of a flow each entry VM got.
func (f *Fabric) VMs(key lhflow.Key) map[netip.AddrPort]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := make(map[netip.AddrPort]int, len(f.sent[key]))
	for vm, n := range f.sent[key] {
		counts[vm] = n
	}
	return counts
}

// Sent returns how many packets an entry VM got.
func (f *Fabric) Sent(vm netip.AddrPort) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.perVM[vm]
}

// Dial opens a connection from a caller to a service. The connection is reset
// when the context ends. The error is an Outcome when the connection was refused.
func (f *Fabric) Dial(ctx context.Context, caller, service netip.AddrPort) (*Conn, error) {
	key := lhflow.NewKey(lhflow.TCP, caller, service)
	c := newConn(ctx, &f.stack, key, newEndpoint(caller, service, f.port.number()))
	if !f.stack.add(key, c) {
		return nil, lhcode.Newf(lhcode.Usage, "caller %v has a connection to %v", caller, service)
	}
	c.do(func(e *endpoint) { e.connect(time.Now()) })
	if err := c.opened(); err != nil {
		return nil, err
	}
	return c, nil
}

// Ask sends a UDP datagram from a caller to a service and returns the answer. The
// error is Refused when an ICMP error came back, and TimedOut when the context
// ended before.
func (f *Fabric) Ask(ctx context.Context, caller, service netip.AddrPort, data []byte) ([]byte, error) {
	key := lhflow.NewKey(lhflow.UDP, caller, service)
	e := exchange{answers: make(chan answer, 1)}
	if !f.stack.add(key, e) {
		return nil, lhcode.Newf(lhcode.Usage, "caller %v asks %v already", caller, service)
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

// exchange is a UDP datagram that waits for its answer.
type exchange struct{ answers chan answer }

type answer struct {
	data []byte
	err  error
}

// receive takes the first answer.
func (e exchange) receive(_ time.Time, p *lhwire.Packet) {
	a := answer{data: append([]byte(nil), p.Payload()...)}
	if p.IsICMPError() {
		a = answer{err: Refused}
	}
	select {
	case e.answers <- a:
	default:
	}
}

// NextCaller returns a caller that no load and no other call of it has had.
func (f *Fabric) NextCaller() netip.AddrPort { return callerIn(DefaultCallers, f.reserve(1)) }

// reserve returns the number of the first of so many flows that no load has had.
func (f *Fabric) reserve(flows int) int {
	return int(f.reserved.Add(int64(flows))) - flows
}

// transmit hands a packet to an entry VM at random.
func (f *Fabric) transmit(key lhflow.Key, inner []byte) {
	vm, ok := f.port.choose()
	if !ok {
		return
	}
	f.count(key, vm)
	f.port.send(inner, vm)
}

func (f *Fabric) count(key lhflow.Key, vm netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.perVM[vm]++
	if !f.CountFlows {
		return
	}
	if f.sent[key] == nil {
		f.sent[key] = make(map[netip.AddrPort]int)
	}
	f.sent[key][vm]++
}

// unknown answers a segment that belongs to no connection with a RST, as a
// caller's machine does.
func (f *Fabric) unknown(_ time.Time, p *lhwire.Packet) {
	if inner := lhwire.ResetToCaller(p); inner != nil {
		f.transmit(p.Key(lhflow.FromServer), inner)
	}
}
