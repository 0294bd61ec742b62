package lhstand

import (
	"context"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// timerInterval is the interval at which connection timers are checked.
const timerInterval = 20 * time.Millisecond

// packetReceiver handles the packets of one flow.
type packetReceiver interface {
	receive(now time.Time, p *lhwire.Packet)
}

// stack dispatches the packets of a simulated component to its flows and runs their
// timers.
type stack struct {
	// source is the end from which received packets come.
	source lhflow.Source
	// transmit sends an inner packet of a flow.
	transmit func(key lhflow.Key, inner []byte)
	// unmatched handles a packet that matches no flow.
	unmatched func(now time.Time, p *lhwire.Packet)

	mu    sync.Mutex
	flows map[lhflow.Key]packetReceiver
	// armed holds the connections that have a deadline.
	armed map[*Conn]struct{}
}

// receive dispatches a packet to its flow.
func (s *stack) receive(now time.Time, p *lhwire.Packet) {
	s.mu.Lock()
	r, ok := s.flows[p.Key(s.source)]
	s.mu.Unlock()
	if !ok {
		s.unmatched(now, p)
		return
	}
	r.receive(now, p)
}

// add registers a flow. It reports false if the key is already in use.
func (s *stack) add(key lhflow.Key, r packetReceiver) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows == nil {
		s.flows = make(map[lhflow.Key]packetReceiver)
	}
	if _, ok := s.flows[key]; ok {
		return false
	}
	s.flows[key] = r
	return true
}

// remove removes a flow unless its key now belongs to another.
func (s *stack) remove(key lhflow.Key, r packetReceiver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.flows[key] == r {
		delete(s.flows, key)
	}
}

// clear discards all flows without notifying the peers.
func (s *stack) clear() {
	s.mu.Lock()
	flows := s.flows
	s.flows = nil
	s.mu.Unlock()
	for _, r := range flows {
		if c, ok := r.(*Conn); ok {
			c.discard()
		}
	}
}

// size returns the number of flows.
func (s *stack) size() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.flows)
}

// armTimer has the connection's timer checked periodically until disarmTimer.
func (s *stack) armTimer(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.armed == nil {
		s.armed = make(map[*Conn]struct{})
	}
	s.armed[c] = struct{}{}
}

func (s *stack) disarmTimer(c *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.armed, c)
}

// runTimers checks the armed timers periodically until the context ends.
func (s *stack) runTimers(ctx context.Context) error {
	ticker := time.NewTicker(timerInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			for _, c := range s.armedConns() {
				c.tick(now)
			}
		}
	}
}

func (s *stack) armedConns() []*Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conns := make([]*Conn, 0, len(s.armed))
	for c := range s.armed {
		conns = append(conns, c)
	}
	return conns
}
