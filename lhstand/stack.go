package lhstand

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// sweepPeriod is the time between two looks at the timers of connections.
const sweepPeriod = 20 * time.Millisecond

// receiver takes the packets of one flow.
type receiver interface {
	receive(now time.Time, p *lhwire.Packet)
}

// stack holds the flows of one stand-in and their timers.
type stack struct {
	// source is the end that the stack's packets come from.
	source lhflow.Source
	// transmit sends an inner packet of a flow.
	transmit func(key lhflow.Key, inner []byte)
	// unknown handles a packet of a flow that the stack does not hold.
	unknown func(now time.Time, p *lhwire.Packet)

	mu    sync.Mutex
	flows map[lhflow.Key]receiver
	// armed holds the connections that have a deadline.
	armed map[*Conn]struct{}
}

// receive hands a packet to its flow.
func (s *stack) receive(now time.Time, p *lhwire.Packet) {
	s.mu.Lock()
	r, ok := s.flows[p.Key(s.source)]
	s.mu.Unlock()
	if !ok {
		s.unknown(now, p)
		return
	}
	r.receive(now, p)
}

// add holds a flow. It reports false when the stack holds another with its key.
func (s *stack) add(key lhflow.Key, r receiver) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows == nil {
		s.flows = make(map[lhflow.Key]receiver)
	}
	if _, ok := s.flows[key]; ok {
		return false
	}
	s.flows[key] = r
	return true
}

// remove drops a flow, unless another has taken its key.
func (s *stack) remove(key lhflow.Key, r receiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[key] == r {
		delete(s.flows, key)
	}
}

// clear drops all flows without a word to the other ends.
func (s *stack) clear() {
	s.mu.Lock()
	flows := s.flows
	s.flows = nil
	s.mu.Unlock()
	for _, r := range flows {
		if c, ok := r.(*Conn); ok {
			c.drop()
		}
	}
}

// size returns the number of flows.
func (s *stack) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flows)
}

// arm has the connection's timer looked at until disarm.
func (s *stack) arm(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.armed == nil {
		s.armed = make(map[*Conn]struct{})
	}
	s.armed[c] = struct{}{}
}

func (s *stack) disarm(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.armed, c)
}

// sweep looks at the timers until the context ends.
func (s *stack) sweep(ctx context.Context) error {
	ticker := time.NewTicker(sweepPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, c := range s.due() {
				c.tick(now)
			}
		}
	}
}

func (s *stack) due() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*Conn, 0, len(s.armed))
	for c := range s.armed {
		conns = append(conns, c)
	}
	return conns
}
