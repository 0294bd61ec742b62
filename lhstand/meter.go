package lhstand

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhsock"
)

// meterWindow is how many packets of a Meter are on their way at a time.
const meterWindow = 256

// Meter sends prepared packets to a backend server's socket by one way or another
// and measures how long each takes. Its senders and receivers number the same.
type Meter struct {
	// Senders are the fabric's sockets, of one handle each. Set them and the other
	// fields before Run.
	Senders []*lhsock.Socket
	Server  *lhsock.Socket
	// Packets are sent in turn, as they are.
	Packets [][]byte
	// Patience bounds the time of a round.
	Patience time.Duration

	// credits holds one for each packet under way.
	credits chan struct{}
	// left counts the packets of the round that were not received yet.
	left atomic.Int64
	// received tells that none is left.
	received chan struct{}
}

// Run receives packets until the context ends and the server's socket is closed or
// its deadline has passed. The channel then gives an error or nil once for each
// receiver.
func (m *Meter) Run(ctx context.Context) <-chan error {
	m.credits = make(chan struct{}, meterWindow)
	m.received = make(chan struct{}, 1)
	handles := m.Server.Handles()
	ended := make(chan error, len(handles))
	for _, h := range handles {
		go func() { ended <- lhsock.Serve(ctx, h, m.take, nil) }()
	}
	return ended
}

// take gives a credit back for a packet that was received.
func (m *Meter) take([]byte, netip.AddrPort) {
	<-m.credits
	if m.left.Add(-1) == 0 {
		m.received <- struct{}{}
	}
}

// Round sends so many packets to an address, a window of them at a time, and
// returns the time until the server's socket had received all.
func (m *Meter) Round(ctx context.Context, to netip.AddrPort, packets int) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, m.Patience)
	defer cancel()
	m.left.Store(int64(packets))
	began := time.Now()
	ended := make(chan error, len(m.Senders))
	for i := range m.Senders {
		go func() { ended <- m.send(ctx, i, to, packets) }()
	}
	for range m.Senders {
		if err := <-ended; err != nil {
			return 0, err
		}
	}
	select {
	case <-m.received:
		return time.Since(began), nil
	case <-ctx.Done():
		return 0, lhcode.Newf(lhcode.Internal, "%d packets were lost", m.left.Load())
	}
}

// send sends every packet of a round whose turn it is a sender's.
func (m *Meter) send(ctx context.Context, sender int, to netip.AddrPort, packets int) error {
	handle := m.Senders[sender].Handles()[0]
	for n := sender; n < packets; n += len(m.Senders) {
		select {
		case m.credits <- struct{}{}:
		case <-ctx.Done():
			return lhcode.Newf(lhcode.Internal, "%d packets were lost", m.left.Load())
		}
		if _, err := handle.WriteToUDPAddrPort(m.Packets[n%len(m.Packets)], to); err != nil {
			return err
		}
	}
	return nil
}
