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

// budgetBurst is the length of time whose budget may be spent at once.
const budgetBurst = time.Second

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
	burst := int(budgetBurst.Seconds() * float64(bytesPerSecond))
	return &budget{limiter: rate.NewLimiter(rate.Limit(bytesPerSecond), burst)}
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

// wait returns once the budget is no longer overdrawn.
func (b *budget) wait(ctx context.Context) error {
	return lhcode.Wrap(lhcode.PeerUnreachable, b.limiter.Wait(ctx), "waiting for the control budget")
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
