package lhstand

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhsock"
)

// windowPackets is the maximum number of packets in flight.
const windowPackets = 256

// ThroughputMeter measures the time to deliver prepared packets to a backend
// server's socket, directly or through a relay or entry VM. It needs as many
// senders as receivers.
type ThroughputMeter struct {
	// Senders are the fabric's sockets, with one handle each. Set all fields before
	// Run.
	Senders []*lhsock.Socket
	Server  *lhsock.Socket
	// Packets are sent unmodified, in rotation.
	Packets [][]byte
	// Timeout is the time limit of a round.
	Timeout time.Duration

	// inFlight holds one token for each packet in flight.
	inFlight chan struct{}
	// remaining is the number of packets of the round not yet received.
	remaining atomic.Int64
	// roundDone is signaled when the last packet of a round is received.
	roundDone chan struct{}
}

// Run receives packets until the context ends and the server's socket is closed or
// its deadline has passed. Each receiver then sends an error or nil on the returned
// channel.
func (m *ThroughputMeter) Run(ctx context.Context) <-chan error {
	m.inFlight = make(chan struct{}, windowPackets)
	m.roundDone = make(chan struct{}, 1)
	handles := m.Server.Handles()
	done := make(chan error, len(handles))
	for _, h := range handles {
		go func() { done <- lhsock.Serve(ctx, h, m.receivePacket, nil) }()
	}
	return done
}

// receivePacket returns the token of a received packet.
func (m *ThroughputMeter) receivePacket([]byte, netip.AddrPort) {
	<-m.inFlight
	if m.remaining.Add(-1) == 0 {
		m.roundDone <- struct{}{}
	}
}

// MeasureRound sends a number of packets to an address, at most a window of them in
// flight, and returns the time until the server's socket has received all of them.
func (m *ThroughputMeter) MeasureRound(ctx context.Context, to netip.AddrPort, packets int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Timeout)
	defer cancel()
	m.remaining.Store(int64(packets))
	start := time.Now()
	sent := make(chan error, len(m.Senders))
	for i := range m.Senders {
		go func() { sent <- m.sendShare(ctx, i, to, packets) }()
	}
	for range m.Senders {
		if err := <-sent; err != nil {
			return 0, err
		}
	}
	select {
	case <-m.roundDone:
		return time.Since(start), nil
	case <-ctx.Done():
		return 0, lhcode.Newf(lhcode.Internal, "%d packets were lost", m.remaining.Load())
	}
}

// sendShare sends the packets of a round that are assigned to one sender.
func (m *ThroughputMeter) sendShare(ctx context.Context, sender int, to netip.AddrPort, packets int) error {
	handle := m.Senders[sender].Handles()[0]
	for n := sender; n < packets; n += len(m.Senders) {
		select {
		case m.inFlight <- struct{}{}:
		case <-ctx.Done():
			return lhcode.Newf(lhcode.Internal, "%d packets were lost", m.remaining.Load())
		}
		if _, err := handle.WriteToUDPAddrPort(m.Packets[n%len(m.Packets)], to); err != nil {
			return err
		}
	}
	return nil
}
