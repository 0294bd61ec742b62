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

// Conn is one end of a simulated TCP connection. Its methods are safe for concurrent
// use.
type Conn struct {
	key   lhflow.Key
	stack *stack
	// ctx is canceled when the connection ends or its parent context does.
	ctx    context.Context
	cancel context.CancelFunc

	mu       sync.Mutex
	endpoint endpoint
	// changed is closed and set to nil when the endpoint may have changed. It is nil
	// while no goroutine waits.
	changed chan struct{}
	// timerArmed is set while the stack checks the connection's timer.
	timerArmed bool
}

func newConn(ctx context.Context, s *stack, key lhflow.Key, e endpoint) *Conn {
	c := &Conn{key: key, stack: s, endpoint: e}
	c.ctx, c.cancel = context.WithCancel(ctx)
	return c
}

// Local returns the local address and port.
func (c *Conn) Local() netip.AddrPort { return c.endpoint.local }

// Key returns the connection's flow key.
func (c *Conn) Key() lhflow.Key { return c.key }

// Done returns a channel that is closed when the connection has ended.
func (c *Conn) Done() <-chan struct{} { return c.ctx.Done() }

// Outcome returns how the connection ended, or Pending if it has not.
func (c *Conn) Outcome() Outcome {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.endpoint.outcome
}

// Read implements io.Reader. It returns io.EOF after the peer's FIN, and an Outcome
// if the connection failed.
func (c *Conn) Read(b []byte) (int, error) {
	var n int
	err := c.wait(func(e *endpoint) (bool, error) {
		n = e.read(b)
		switch {
		case n > 0 || len(b) == 0:
			return true, nil
		case e.outcome > Completed:
			return true, e.outcome
		case e.finReceived:
			return true, io.EOF
		}
		return false, nil
	})
	return n, err
}

// Write implements io.Writer. It returns once b is buffered, and blocks while more
// than two windows of earlier data are unacknowledged.
func (c *Conn) Write(b []byte) (int, error) {
	err := c.wait(func(e *endpoint) (bool, error) {
		if e.outcome > Completed {
			return true, e.outcome
		}
		if e.closing {
			return true, io.ErrClosedPipe
		}
		if len(e.sendBuffer) > 2*windowSize {
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

// Close sends a FIN after the data written so far. The peer may continue to send.
func (c *Conn) Close() error {
	c.update(func(e *endpoint) { e.close(time.Now()) })
	return nil
}

// Abort resets the connection.
func (c *Conn) Abort() { c.update((*endpoint).abort) }

// Wait blocks until both ends have closed the connection or it has failed, and
// returns the outcome.
func (c *Conn) Wait() Outcome {
	_ = c.wait(func(e *endpoint) (bool, error) { return e.outcome != Pending, nil })
	return c.Outcome()
}

// waitOpen blocks until the connection is established. It returns the Outcome if the
// connection fails.
func (c *Conn) waitOpen() error {
	return c.wait(func(e *endpoint) (bool, error) {
		if e.outcome > Completed {
			return true, e.outcome
		}
		return e.state >= established, nil
	})
}

// receive implements packetReceiver. A SYN replaces a connection in TIME-WAIT with a
// new one of the same key.
func (c *Conn) receive(now time.Time, p *lhwire.Packet) {
	if isSYN(p) && c.releaseTimeWait() {
		c.stack.unmatched(now, p)
		return
	}
	c.update(func(e *endpoint) { e.receive(now, p) })
}

// releaseTimeWait ends a connection in TIME-WAIT and reports whether it did.
func (c *Conn) releaseTimeWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.endpoint.state != timeWait {
		return false
	}
	c.endpoint.terminate(Completed)
	c.flush()
	return true
}

// tick runs the endpoint's timer.
func (c *Conn) tick(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endpoint.tick(now)
	c.flush()
	if c.endpoint.deadline.IsZero() {
		c.timerArmed = false
		c.stack.disarmTimer(c)
	}
}

// discard ends the connection without notifying the peer.
func (c *Conn) discard() { c.update(func(e *endpoint) { e.terminate(Canceled) }) }

// update applies change to the endpoint and sends the resulting packets.
func (c *Conn) update(change func(*endpoint)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change(&c.endpoint)
	c.flush()
}

// wait calls check after every change of the endpoint until it reports true. If the
// context ends first, it resets the connection.
func (c *Conn) wait(check func(*endpoint) (bool, error)) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for {
		done, err := check(&c.endpoint)
		if done {
			c.flush()
			return err
		}
		if c.ctx.Err() != nil {
			c.endpoint.abort()
			c.flush()
			return c.endpoint.outcome
		}
		c.waitForChange()
	}
}

// waitForChange releases mu until the endpoint changes or the context ends.
func (c *Conn) waitForChange() {
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

// flush sends the endpoint's outgoing packets and wakes waiting goroutines. It arms
// the timer if a deadline is set and removes the connection once it is closed.
func (c *Conn) flush() {
	for _, inner := range c.endpoint.outgoing {
		c.stack.transmit(c.key, inner)
	}
	c.endpoint.outgoing = c.endpoint.outgoing[:0]
	if c.endpoint.state == closed {
		c.stack.remove(c.key, c)
		c.cancel()
	}
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
	if !c.timerArmed && !c.endpoint.deadline.IsZero() {
		c.timerArmed = true
		c.stack.armTimer(c)
	}
}
