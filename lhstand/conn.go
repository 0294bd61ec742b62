package lhstand

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// Conn is one end of a TCP connection of a stand-in. Its methods may be called by
// several goroutines.
type Conn struct {
	key   lhflow.Key
	stack *stack
	// ctx ends with the connection, or with the context that it was opened in.
	ctx    context.Context
	cancel context.CancelFunc

	mu  sync.Mutex
	end endpoint
	// changed is closed and cleared whenever the endpoint may have changed; it is
	// nil while nobody waits.
	changed chan struct{}
	// armed is set while the stack's sweep knows the connection.
	armed bool
}

func newConn(ctx context.Context, s *stack, key lhflow.Key, end endpoint) *Conn {
	c := &Conn{key: key, stack: s, end: end}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// Local returns the connection's own address and port.
func (c *Conn) Local() netip.AddrPort { return c.end.local }

// Key returns the key of the connection's flow.
func (c *Conn) Key() lhflow.Key { return c.key }

// Done is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Outcome returns how the connection ended, or Pending.
func (c *Conn) Outcome() Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.end.outcome
}

// Read reads bytes in order. It returns io.EOF when the other end has closed and
// an Outcome when the connection was broken off.
func (c *Conn) Read(b []byte) (int, error) {
	var n int
	err := c.wait(func(e *endpoint) (bool, error) {
		n = e.read(b)
		switch {
		case n > 0 || len(b) == 0:
			return true, nil
		case e.outcome > Whole:
			return true, e.outcome
		case e.finReceived:
			return true, io.EOF
		}
		return false, nil
	})
	return n, err
}

// Write sends bytes. It returns when they are buffered, at most a few windows
// ahead of what the other end has acknowledged.
func (c *Conn) Write(b []byte) (int, error) {
	err := c.wait(func(e *endpoint) (bool, error) {
		if e.outcome > Whole {
			return true, e.outcome
		}
		if e.closing {
			return true, io.ErrClosedPipe
		}
		if len(e.unacked) > 2*windowSize {
			return false, nil
		}
		e.write(time.Now(), b)
		return true, nil
	})
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close sends a FIN after what was written. The other end may go on sending.
func (c *Conn) Close() error {
	c.do(func(e *endpoint) { e.close(time.Now()) })
	return nil
}

// Abort resets the connection.
func (c *Conn) Abort() { c.do((*endpoint).abort) }

// Wait waits until the connection has ended, after both ends have closed it or
// it was broken off, and returns the outcome.
func (c *Conn) Wait() Outcome {
	_ = c.wait(func(e *endpoint) (bool, error) { return e.outcome != Pending, nil })
	return c.Outcome()
}

// opened waits until the connection is open. It returns the Outcome otherwise.
func (c *Conn) opened() error {
	return c.wait(func(e *endpoint) (bool, error) {
		if e.outcome > Whole {
			return true, e.outcome
		}
		return e.state >= established, nil
	})
}

// receive implements receiver. A connection that only lingers makes way for a new
// one with the same key.
func (c *Conn) receive(now time.Time, p *lhwire.Packet) {
	if isSYN(p) && c.makesWay() {
		c.stack.unknown(now, p)
		return
	}
	c.do(func(e *endpoint) { e.receive(now, p) })
}

func (c *Conn) makesWay() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.end.state != timeWait {
		return false
	}
	c.end.end(Whole)
	c.flush()
	return true
}

// tick lets the endpoint act on its deadline.
func (c *Conn) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.end.tick(now)
	c.flush()
	if c.end.deadline.IsZero() {
		c.armed = false
		c.stack.disarm(c)
	}
}

// drop ends the connection without a word to the other end.
func (c *Conn) drop() { c.do(func(e *endpoint) { e.end(Canceled) }) }

// do changes the endpoint and sends what it has to send.
func (c *Conn) do(change func(*endpoint)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.end)
	c.flush()
}

// wait calls check until it reports true. It resets the connection when the
// context ends before.
func (c *Conn) wait(check func(*endpoint) (bool, error)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		done, err := check(&c.end)
		if done {
			c.flush()
			return err
		}
		if c.ctx.Err() != nil {
			c.end.abort()
			c.flush()
			return c.end.outcome
		}
		c.sleep()
	}
}

// sleep waits for a change of the endpoint or the end of the context.
func (c *Conn) sleep() {
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	changed := c.changed
	c.mu.Unlock()
	defer c.mu.Lock()
	select {
	case <-changed:
	case <-c.ctx.Done():
	}
}

// flush sends what the endpoint has gathered, wakes whoever waits for a change
// and sees to the connection's timer and end.
func (c *Conn) flush() {
	for _, inner := range c.end.out {
		c.stack.transmit(c.key, inner)
	}
	c.end.out = c.end.out[:0]
	if c.end.state == ended {
		c.stack.remove(c.key, c)
		c.cancel()
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
	if !c.armed && !c.end.deadline.IsZero() {
		c.armed = true
		c.stack.arm(c)
	}
}
