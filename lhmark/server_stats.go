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
	// failures counts consecutive unanswered SYNs, the first and last of which were found
	// at firstFailure and lastFailure. Like the times of the last answered SYN and of the
	// last answer of any kind they include what other VMs have observed.
	failures                  int
	firstFailure, lastFailure time.Duration
	lastAnswer, lastAlive     time.Duration
	// unfollowed counts the SYNs in a row that nothing has followed.
	unfollowed int
	// avoidUntil is the time until which the server gets no new flow.
	avoidUntil time.Duration
	// warmAt is when a server that has just started reaches full speed, unless new flows of
	// cold servers are limited.
	warmAt time.Duration
	speed  serverSpeed
	// knownSince is when this run of the server became known, and domain its failure domain;
	// nil if domains are not used.
	knownSince time.Duration
	domain     *domain
	// pace limits the new flows of a server that has just begun to take them; nil if it
	// doesn't. cold is set once the server was known to be cold.
	pace pacer
	cold *coldState
	// silence is what probes have shown.
	silence silence

	// The counters never decrease.
	placed, unanswered, answered uint64
}

// suspect reports whether the server has recently left SYNs unanswered, or its failure domain
// is suspect.
func (s *serverStats) suspect(now time.Duration) bool {
	return now < s.avoidUntil || s.domain.suspect(now, s.knownSince)
}

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
	s.domain.recordSYN(now)
}

// recordUnanswered records an unanswered SYN and returns how many there were in a row.
func (s *serverStats) recordUnanswered(now time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unanswered++
	s.recordFailure(now, s.failures+1)
	return s.failures
}

// recordFailure records that a number of SYNs in a row were unanswered at some time. The
// lock must be held.
func (s *serverStats) recordFailure(at time.Duration, failures int) {
	if s.failures == 0 {
		s.firstFailure = at
	}
	s.failures = failures
	s.lastFailure = max(s.lastFailure, at)
	s.avoidUntil = max(s.avoidUntil, at+min(initialAvoidance<<min(failures-1, 4), maxAvoidance))
}

// recordAnswered records an answered SYN and reports whether earlier ones were not.
func (s *serverStats) recordAnswered(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	recovered := s.failures > 0
	s.recordAnswer(now)
	s.answered++
	return recovered
}

// recordAnswer records that a SYN was answered at some time. The lock must be held.
func (s *serverStats) recordAnswer(at time.Duration) {
	s.failures, s.unfollowed, s.avoidUntil = 0, 0, 0
	s.lastAnswer, s.lastAlive = max(s.lastAnswer, at), max(s.lastAlive, at)
}

// recordServed records an answered request and reports whether it is the first answer
// since SYNs were found unanswered.
func (s *serverStats) recordServed(now time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	news := s.failures > 0 && s.lastAlive < s.firstFailure
	s.lastAlive = now
	return news
}

// adjust adds to the numbers of open flows and of those in flight, down to 0.
func (s *serverStats) adjust(openFlows, inFlight int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openFlows = max(s.openFlows+openFlows, 0)
	s.inFlight = max(s.inFlight+inFlight, 0)
}
