package lhpeer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// DefaultBudget is the default limit of a VM's control traffic in bytes per second.
const DefaultBudget = 3000

const (
	// budgetBurst is the length of time whose budget may be spent in one burst.
	budgetBurst = time.Second
	// MinHandOverDivisor divides the budget to give the part that hand-over gets
	// regardless of the traffic of exchanges.
	MinHandOverDivisor = 4
	// budgetPollInterval is the interval at which wait checks an overdrawn budget.
	budgetPollInterval = 20 * time.Millisecond
)

// budget counts the bytes of control traffic and paces hand-over. Exchanges are
// never delayed, but the bytes that they write delay hand-over.
type budget struct {
	limiter *rate.Limiter
	in, out atomic.Uint64
}

func newBudget(bytesPerSecond int) *budget {
	if bytesPerSecond <= 0 {
		bytesPerSecond = DefaultBudget
	}
	b := &budget{limiter: rate.NewLimiter(0, 0)}
	b.set(bytesPerSecond)
	return b
}

// set changes the limit to bytesPerSecond.
func (b *budget) set(bytesPerSecond int) {
	b.limiter.SetBurst(int(budgetBurst.Seconds() * float64(bytesPerSecond)))
	b.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// spend counts n bytes as written. It may overdraw the budget.
func (b *budget) spend(n int) {
	b.out.Add(uint64(n))
	now := time.Now()
	for n > 0 {
		part := min(n, b.limiter.Burst())
		b.limiter.ReserveN(now, part)
		n -= part
	}
}

// wait returns once the budget is no longer overdrawn, or after the time in which
// the minimum rate of hand-over covers n bytes. Without that minimum, exchanges
// that use up the budget would block hand-over indefinitely. Raising the budget
// during the wait shortens it.
func (b *budget) wait(ctx context.Context, n int) error {
	ticker := time.NewTicker(budgetPollInterval)
	defer ticker.Stop()
	passed := 0.0
	for passed < float64(n) && !b.limiter.Allow() {
		select {
		case <-ctx.Done():
			return lhcode.Wrap(lhcode.PeerUnreachable, ctx.Err(), "waiting for the budget for control traffic")
		case <-ticker.C:
		}
		passed += float64(b.limiter.Limit()) / MinHandOverDivisor * budgetPollInterval.Seconds()
	}
	return nil
}

// countedConn counts the bytes of a connection in a budget.
type countedConn struct {
	net.Conn
	budget *budget
}

// Read counts the bytes read.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.budget.in.Add(uint64(n))
	return n, err
}

// Write counts the bytes written.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.budget.spend(n)
	return n, err
}

// countedListener wraps the accepted connections in countedConn.
type countedListener struct {
	net.Listener
	budget *budget
}

// Accept returns the next connection as a countedConn.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, budget: l.budget}, nil
}
