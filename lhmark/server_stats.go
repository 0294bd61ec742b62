package lhmark

import (
	"sync"
	"time"
)

const (
	// initialAvoidance is how long a server gets no new flow after it left a SYN
	// unanswered. The time doubles with each further unanswered SYN up to
	// maxAvoidance, within which a server that is gone loses its entry.
	initialAvoidance = time.Second
	maxAvoidance     = 4 * time.Second
	// probeInterval is how long a server that is tried again gets no second flow.
	// The answer to the SYN arrives within this time, and so does the caller's
	// first retransmission.
	probeInterval = 300 * time.Millisecond
	// openFlowCost is the cost of an open flow relative to a request in progress: the
	// fraction of time in which a long-lived flow has one, for the traffic that callers send.
	openFlowCost = 0.05
	// warmupCostFactor multiplies the cost of a server that has just started.
	warmupCostFactor = 1.6
)

// serverStats is what a VM has observed of a backend server.
type serverStats struct {
	mu sync.Mutex
	// openFlows counts the flows placed on the server that have not ended, and inFlight those
	// with an unanswered SYN or request; inFlight is at most openFlows.
	openFlows, inFlight int
	// failures counts consecutive unanswered SYNs.
	failures int
	// avoidUntil is the time until which the server gets no new flow.
	avoidUntil time.Duration
	// warmAt is when a server that has just started reaches full speed.
	warmAt time.Duration
	// lastFailure is when a SYN was last found unanswered.
	lastFailure time.Duration

	// The counters never decrease.
	placed, unanswered, answered uint64
}

// suspect reports whether the server has recently left SYNs unanswered.
func (s *serverStats) suspect(now time.Duration) bool { return now < s.avoidUntil }

// cost returns the load per slot that the server would have with one more flow.
func (s *serverStats) cost(now time.Duration, slots uint32) float64 {
	c := (float64(s.inFlight) + openFlowCost*float64(s.openFlows) + 1) / float64(max(slots, 1))
	if now < s.warmAt {
		c *= warmupCostFactor
	}
	return c
}

// inFlightCount returns the number of flows with an unanswered SYN or request.
func (s *serverStats) inFlightCount() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return float64(s.inFlight)
}

// recordSYN records a SYN that is sent to the server.
func (s *serverStats) recordSYN(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openFlows++
	s.inFlight++
	s.placed++
	if s.failures > 0 {
		s.avoidUntil = max(s.avoidUntil, now+probeInterval)
	}
}

// recordUnanswered records an unanswered SYN and returns how many there were in a row.
func (s *serverStats) recordUnanswered(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	s.unanswered++
	s.lastFailure = now
	s.avoidUntil = now + min(initialAvoidance<<min(s.failures-1, 4), maxAvoidance)
	return s.failures
}

// recordAnswered records an answered SYN and reports whether earlier ones were not.
func (s *serverStats) recordAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	recovered := s.failures > 0
	s.failures, s.avoidUntil = 0, 0
	s.answered++
	return recovered
}

// adjust adds to the numbers of open flows and of those in flight, down to 0.
func (s *serverStats) adjust(openFlows, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openFlows = max(s.openFlows+openFlows, 0)
	s.inFlight = max(s.inFlight+inFlight, 0)
}
