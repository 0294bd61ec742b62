package lhstand

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

const (
	// bufferSize holds the largest UDP datagram, in bytes.
	bufferSize = 1 << 16
	// socketBuffer is what the system is asked to keep of packets not yet read.
	socketBuffer = 4 << 20
)

// port is a stand-in's UDP socket: it speaks Geneve with the entry VMs.
type port struct {
	socket *net.UDPConn
	done   chan error
	// in and out apply the faults of the network in each direction.
	in, out *link

	mu      sync.Mutex
	rng     *rand.Rand
	members []netip.AddrPort
}

// openPort opens a socket at an address; port 0 lets the system choose.
func openPort(address netip.AddrPort, seed uint64) (*port, error) {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
	if err != nil {
		return nil, err
	}
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	return &port{
		socket: socket,
		done:   make(chan error, 1),
		in:     newLink(seed),
		out:    newLink(seed + 1),
		rng:    rand.New(rand.NewPCG(seed, 0)),
	}, nil
}

// run reads packets until the context ends; sweep runs beside it. It reports the
// first error on done.
func (p *port) run(ctx context.Context, handle func(time.Time, *lhwire.Packet), sweep func(context.Context) error) {
	stop := context.AfterFunc(ctx, func() { _ = p.socket.Close() })
	ended := make(chan error, 2)
	go func() { ended <- p.read(ctx, handle) }()
	go func() { ended <- sweep(ctx) }()
	first := <-ended
	second := <-ended
	stop()
	p.done <- errors.Join(first, second)
}

func (p *port) read(ctx context.Context, handle func(time.Time, *lhwire.Packet)) error {
	buf := make([]byte, bufferSize)
	var decoder lhwire.Decoder
	deliver := func(datagram []byte) {
		if packet, fault := decoder.Decode(datagram); fault == lhwire.FaultNone {
			handle(time.Now(), packet)
		}
	}
	for {
		n, _, err := p.socket.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			// A UDP socket reports an earlier send's ICMP error here.
			continue
		}
		p.in.pass(buf[:n], deliver)
	}
}

// address returns the socket's address.
func (p *port) address() netip.AddrPort {
	a := p.socket.LocalAddr().(*net.UDPAddr).AddrPort()
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}

func (p *port) setMembers(members []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members = append([]netip.AddrPort(nil), members...)
}

// choose returns a random member; it is false when there is none.
func (p *port) choose() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.members) == 0 {
		return netip.AddrPort{}, false
	}
	return p.members[p.rng.IntN(len(p.members))], true
}

// number returns a random number, for initial sequence numbers.
func (p *port) number() uint32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rng.Uint32()
}

// send sends an inner packet to a member.
func (p *port) send(inner []byte, to netip.AddrPort) {
	buf := lhwire.AppendGeneve(make([]byte, 0, len(inner)+lhwire.Overhead), inner, 0, lhflow.Relay{})
	p.out.pass(buf, func(b []byte) { _, _ = p.socket.WriteToUDPAddrPort(b, to) })
}
