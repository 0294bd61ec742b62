package lhmark

import "time"

// Evidence is what a packet shows of a backend server.
type Evidence uint8

// The kinds of evidence.
const (
	// UnansweredSYN is a SYN that the server did not answer.
	UnansweredSYN Evidence = iota + 1
	// UnansweredRequest is reported by earlier versions and ignored: a server with a queue
	// answers late, and one that is full leaves SYNs unanswered as well.
	UnansweredRequest
	// AnsweredSYN is the first answered SYN after unanswered ones.
	AnsweredSYN
	// AnsweredRequest is an answered request after unanswered SYNs: the server runs but
	// accepts no flow.
	AnsweredRequest
	// SlowAnswer is an answer that shows a queue at a server whose pace is not full.
	SlowAnswer
)

// String returns the name of the evidence in logs.
func (e Evidence) String() string {
	names := [...]string{"none", "unanswered SYN", "unanswered request", "answered SYN", "answered request", "slow answer"}
	if int(e) < len(names) {
		return names[e]
	}
	switch e {
	case UnfollowedSYN:
		return "unfollowed SYN"
	case OverdueSYN:
		return "overdue SYN"
	}
	return "unknown"
}

// Observation is what a VM has observed of a backend server. VMs of a data centre share
// their observations, because each of them opens few flows at any one server. A VM uses
// only those of its own data centre, so that VMs behind a partition don't keep others from
// the servers that only they can't reach.
type Observation struct {
	// Server is the server's number.
	Server   uint32
	Evidence Evidence
	// Failures is the number of SYNs in a row that the server has left unanswered.
	Failures int
	// At is the time of the observation on the VM's monotonic clock.
	At time.Duration
}

// Observe takes over an observation of another VM, unless what is known here is newer. It
// reports whether the server gets new flows again, or gets no more for some time.
func (e *Engine) Observe(o Observation) bool {
	s := e.statsByNumber(o.Server)
	e.observeDomain(o, s)
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.avoidUntil
	switch {
	case o.Evidence == AnsweredSYN && o.At >= s.lastFailure:
		e.answersAgain(o.At, o.Server, s)
		s.recordAnswer(o.At)
	case o.Evidence == SlowAnswer && s.pace != nil:
		s.pace.Slow(o.At)
	case o.Evidence == AnsweredRequest:
		s.lastAlive = max(s.lastAlive, o.At)
	case o.Evidence == UnfollowedSYN && e.detection.FollowUps:
		s.recordUnfollowed(o.At, o.At+followUpTimeout, e.followUps.required())
	case o.Evidence == UnansweredSYN && o.At > s.lastAnswer:
		s.recordFailure(o.At, max(s.failures, o.Failures, 1))
	}
	return s.avoidUntil != before
}
