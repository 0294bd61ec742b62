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
	"github.com/laburnumhollow/laburnumhollow/lhsock"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// port is a stand-in's UDP socket: it speaks Geneve with the entry VMs.
type port struct {
	socket *lhsock.Socket
	done   chan error
	// in and out apply the faults of the network in each direction.
	in, out *link

	mu      sync.Mutex
	rng     *rand.Rand
	members []netip.AddrPort
}

// openPort opens a socket at an address; port 0 lets the system choose.
func openPort(address netip.AddrPort, seed uint64) (*port, error) {
	socket, err := lhsock.Open(address, 1)
	if err != nil {
		return nil, err
	}
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
	var decoder lhwire.Decoder
	deliver := func(datagram []byte) {
		if packet, fault := decoder.Decode(datagram); fault == lhwire.FaultNone {
			handle(time.Now(), packet)
		}
	}
	return lhsock.Serve(ctx, p.handle(), func(datagram []byte, _ netip.AddrPort) {
		p.in.pass(datagram, deliver)
	}, nil)
}

func (p *port) handle() *net.UDPConn { return p.socket.Handles()[0] }

// address returns the socket's address.
func (p *port) address() netip.AddrPort { return p.socket.Address() }

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
	p.out.pass(buf, func(b []byte) { _, _ = p.handle().WriteToUDPAddrPort(b, to) })
}
