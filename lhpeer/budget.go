package lhpeer

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// DefaultBudget is a VM's limit of control traffic in bytes per second.
const DefaultBudget = 3000

const (
	// budgetBurst is the length of time whose budget may be spent at once.
	budgetBurst = time.Second
	// LeastPart is the part of the budget, one in so many, that hand-over gets
	// whatever exchanges take.
	LeastPart = 4
	// budgetTick is the time between two looks at an overdrawn budget.
	budgetTick = 20 * time.Millisecond
)

// budget counts the bytes of control traffic and paces what can wait. Exchanges
// never wait, but what they write delays hand-over.
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

// set changes the budget to so many bytes per second.
func (b *budget) set(bytesPerSecond int) {
	b.limiter.SetBurst(int(budgetBurst.Seconds() * float64(bytesPerSecond)))
	b.limiter.SetLimit(rate.Limit(bytesPerSecond))
}

// spend counts n bytes as written. It may leave the budget overdrawn.
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
// its least part lets n bytes through. Without the latter a budget that exchanges use
// up would keep hand-over from ever going on. A budget that is raised meanwhile
// shortens the wait.
func (b *budget) wait(ctx context.Context, n int) error {
	ticker := time.NewTicker(budgetTick)
	defer ticker.Stop()
	passed := 0.0
	for passed < float64(n) && !b.limiter.Allow() {
		select {
		case <-ctx.Done():
			return lhcode.Wrap(lhcode.PeerUnreachable, ctx.Err(), "waiting for the control budget")
		case <-ticker.C:
		}
		passed += float64(b.limiter.Limit()) / LeastPart * budgetTick.Seconds()
	}
	return nil
}

// countedConn counts the bytes of a connection against a budget.
type countedConn struct {
	net.Conn
	budget *budget
}

// Read counts what it reads.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.budget.in.Add(uint64(n))
	return n, err
}

// Write counts what it writes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.budget.spend(n)
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	budget *budget
}

// Accept returns the next connection, counted.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, budget: l.budget}, nil
}
