package lhwork

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// Opened reports that the SYN or first datagram of an admitted flow was sent to its
// server.
func (c *Controller) Opened(now time.Duration, f Flow) {
	c.update(f, func(p *pool, s *server, k *kind) {
		p.held++
		s.held++
		k.held++
		s.opened++
		s.recordSYN(now)
		p.stale = p.stale || s.unresponsive(now)
		p.load.opened(now)
		s.load.opened(now)
		k.load.opened(now)
		p.halfOpen.Add(now, MaxHandshakeTimeout)
		k.halfOpen.Add(now, MaxHandshakeTimeout)
		c.halfOpenByPrefix.add(now, f.Caller)
	})
}

// Adopted reports a flow that another VM handed over. Its phase is that of its
// record; it counts as open, but not as in flight.
func (c *Controller) Adopted(f Flow) {
	c.update(f, func(p *pool, s *server, k *kind) {
		p.held++
		s.held++
		k.held++
	})
}

// Answered reports the server's answer to a SYN and the time that it took.
func (c *Controller) Answered(now time.Duration, f Flow, latency time.Duration) {
	c.update(f, func(p *pool, s *server, _ *kind) {
		s.unanswered, s.lastSeen = 0, now
		if latency > slowSYNAnswer {
			s.recordFailure(now)
			p.stale = true
		}
	})
}

// Established reports that the caller has completed the handshake of a flow in
// PhaseOpening, which moves it to PhaseWaiting.
func (c *Controller) Established(now time.Duration, f Flow) {
	if f.Phase != PhaseOpening {
		return
	}
	c.update(f, func(p *pool, s *server, k *kind) {
		p.load.established(now)
		s.load.established(now)
		k.load.established(now)
		p.completed.Add(now, completionDecayTime, 1)
		c.endHandshake(now, f, p, k)
	})
}

// Served reports the server's first answer to the caller's data and its latency, 0
// if unknown. It moves the flow to PhaseServed.
func (c *Controller) Served(now time.Duration, f Flow, latency time.Duration) {
	if f.Phase == PhaseServed {
		return
	}
	c.update(f, func(p *pool, s *server, k *kind) {
		s.unanswered, s.lastSeen = 0, now
		c.endPhase(now, f, p, s, k)
		if latency > 0 {
			p.limiter.recordLatency(latency)
			p.recordPace(now, s, k, latency)
		}
	})
}

// Closed reports the end of a flow, whichever side ended it.
func (c *Controller) Closed(now time.Duration, f Flow) {
	c.update(f, func(p *pool, s *server, k *kind) {
		c.recordClosed(now, f, p, s, k)
		if f.Phase == PhaseOpening {
			p.failed.Add(now, completionDecayTime, 1)
		}
	})
}

// ServerReset reports that the server has reset a flow. The flow is closed.
func (c *Controller) ServerReset(now time.Duration, f Flow) {
	c.update(f, func(p *pool, s *server, k *kind) {
		c.recordClosed(now, f, p, s, k)
		s.resets++
		s.unanswered, s.lastSeen = 0, now
		s.recordFailure(now)
		p.stale = true
	})
}

// Silent reports that the server has not answered the SYN of a flow. The flow is
// closed.
func (c *Controller) Silent(now time.Duration, f Flow) {
	c.update(f, func(p *pool, s *server, k *kind) {
		c.recordClosed(now, f, p, s, k)
		s.synTimeouts++
		s.recordFailure(now)
		p.stale = true
	})
}

// Report records the load that a server reports, from 0 for idle to 1 for full.
// Recent observations by this VM take precedence; a contradiction is counted.
func (c *Controller) Report(now time.Duration, number uint32, load float64) {
	c.update(Flow{Server: number}, func(p *pool, s *server, _ *kind) {
		if s.contradicts(now, load, p.fraction, p.completionRate(now)) {
			s.contradictions++
		}
		s.report, s.reportAt = load, max(now, 1)
	})
}

// update runs change on the flow's pool, server and kind with the pool's lock held.
// It ignores events of a server that is no longer declared and holds no flows.
func (c *Controller) update(f Flow, change func(*pool, *server, *kind)) {
	st := c.state.Load()
	if st == nil || c.updateIn(st, f, change) {
		return
	}
	// Taking the lock waits for the SetTable call that has removed the pool or
	// server.
	c.mu.Lock()
	st = c.state.Load()
	c.mu.Unlock()
	c.updateIn(st, f, change)
}

// updateIn is update within one state. It reports whether the server was found.
func (c *Controller) updateIn(st *state, f Flow, change func(*pool, *server, *kind)) bool {
	if declared, ok := st.table.Server(f.Server); ok {
		return c.pool(st, declared.Service()).update(declared, f, change)
	}
	s, ok := st.removed[f.Server]
	if !ok {
		return false
	}
	p := s.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p, s, p.kind(f.Kind))
	return true
}

// update runs change unless the pool lacks the flow's server or was dropped.
func (p *pool) update(declared *lhplace.Server, f Flow, change func(*pool, *server, *kind)) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.server(declared)
	if s == nil || p.dropped {
		return false
	}
	change(p, s, p.kind(f.Kind))
	return true
}

// endPhase removes the flow from the counts of its opening or waiting phase.
func (c *Controller) endPhase(now time.Duration, f Flow, p *pool, s *server, k *kind) {
	p.load.ended(now, f.Phase)
	s.load.ended(now, f.Phase)
	k.load.ended(now, f.Phase)
	if f.Phase == PhaseOpening {
		c.endHandshake(now, f, p, k)
	}
}

func (c *Controller) endHandshake(now time.Duration, f Flow, p *pool, k *kind) {
	k.halfOpen.Remove(now, MaxHandshakeTimeout)
	p.halfOpen.Remove(now, MaxHandshakeTimeout)
	c.halfOpenByPrefix.remove(now, f.Caller)
}

func (c *Controller) recordClosed(now time.Duration, f Flow, p *pool, s *server, k *kind) {
	c.endPhase(now, f, p, s, k)
	p.held = max(p.held-1, 0)
	s.held = max(s.held-1, 0)
	k.held = max(k.held-1, 0)
}
