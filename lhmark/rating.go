package lhmark

import "time"

// rating is how well a server suits a new flow at some time.
type rating struct {
	// cost is the load per slot that the server would have with one more flow. If the
	// servers of the service differ in speed, it is multiplied by expected, the time that
	// a request is expected to take there relative to the usual one; else that is 0.
	cost     float64
	expected float32
	// quickShare is the share of its answers that came too soon for work; 0 if expected is.
	quickShare float32
	// suspect is set if the server has recently left SYNs unanswered, lastFailure being the
	// latest time.
	suspect     bool
	lastFailure time.Duration
	// part is the part of its usual new flows that the server may get: below lhpace.Full while
	// its pace is not full, and 0 if a declared limit allows none.
	part float64
}

// rate returns how well a server suits a new flow.
func (e *Engine) rate(now time.Duration, s *Server) rating {
	stats := e.statsOf(s)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	r := rating{
		cost: stats.cost(now, s.Slots), suspect: stats.suspect(now), lastFailure: stats.lastFailure,
		part: e.pacedPart(now, s, stats),
	}
	if v := e.speeds.service(s.Service); v != nil {
		expected := v.expectedTime(&stats.speed)
		r.cost *= expected
		r.expected, r.quickShare = float32(expected), float32(stats.speed.quickShare)
	}
	return r
}
