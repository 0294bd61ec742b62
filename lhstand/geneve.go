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

// geneveSocket is the UDP socket on which a simulated component exchanges Geneve
// packets with the entry VMs.
type geneveSocket struct {
	socket *lhsock.Socket
	done   chan error
	// inbound and outbound inject network faults in each direction.
	inbound, outbound *faultyLink

	mu      sync.Mutex
	rng     *rand.Rand
	members []netip.AddrPort
}

// openGeneveSocket opens a socket at an address; port 0 selects an ephemeral port.
func openGeneveSocket(address netip.AddrPort, seed uint64) (*geneveSocket, error) {
	socket, err := lhsock.Open(address, 1)
	if err != nil {
		return nil, err
	}
	return &geneveSocket{
		socket:   socket,
		done:     make(chan error, 1),
		inbound:  newFaultyLink(seed),
		outbound: newFaultyLink(seed + 1),
		rng:      rand.New(rand.NewPCG(seed, 0)),
	}, nil
}

// run reads packets and runs the timers until the context ends. It then sends the
// joined errors, or nil, on done.
func (s *geneveSocket) run(ctx context.Context, handle func(time.Time, *lhwire.Packet), runTimers func(context.Context) error) {
	stop := context.AfterFunc(ctx, func() { _ = s.socket.Close() })
	done := make(chan error, 2)
	go func() { done <- s.read(ctx, handle) }()
	go func() { done <- runTimers(ctx) }()
	first := <-done
	second := <-done
	stop()
	s.done <- errors.Join(first, second)
}

func (s *geneveSocket) read(ctx context.Context, handle func(time.Time, *lhwire.Packet)) error {
	var decoder lhwire.Decoder
	deliver := func(datagram []byte) {
		if packet, fault := decoder.Decode(datagram); fault == lhwire.FaultNone {
			handle(time.Now(), packet)
		}
	}
	return lhsock.Serve(ctx, s.conn(), func(datagram []byte, _ netip.AddrPort) {
		s.inbound.forward(datagram, deliver)
	}, nil)
}

func (s *geneveSocket) conn() *net.UDPConn { return s.socket.Handles()[0] }

// address returns the socket's address.
func (s *geneveSocket) address() netip.AddrPort { return s.socket.Address() }

func (s *geneveSocket) setMembers(members []netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.members = append([]netip.AddrPort(nil), members...)
}

// randomMember returns a random member. It reports false if there are none.
func (s *geneveSocket) randomMember() (netip.AddrPort, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.members) == 0 {
		return netip.AddrPort{}, false
	}
	return s.members[s.rng.IntN(len(s.members))], true
}

// randomUint32 returns a random number for use as an initial sequence number.
func (s *geneveSocket) randomUint32() uint32 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Uint32()
}

// send encapsulates an inner packet and sends it to a member.
func (s *geneveSocket) send(inner []byte, to netip.AddrPort) {
	buf := lhwire.AppendGeneve(make([]byte, 0, len(inner)+lhwire.Overhead), inner, 0, lhflow.Relay{})
	s.outbound.forward(buf, func(b []byte) { _, _ = s.conn().WriteToUDPAddrPort(b, to) })
}
