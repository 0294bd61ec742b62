package lhflow

import "time"

// Transition is a state transition of a flow.
type Transition uint8

// The transitions.
const (
	// Opened is a flow that this VM has placed.
	Opened Transition = iota
	// Adopted is a flow that another VM placed and whose first owner is now this
	// VM.
	Adopted
	// Answered is a SYN that the server has answered, Report.ResponseTime after it
	// arrived.
	Answered
	// Established is a flow whose caller has completed the handshake.
	Established
	// Responded is the server's first data, Report.ResponseTime after the caller's
	// first data.
	Responded
	// Rejected is a SYN that the server has answered with RST. It ends the flow.
	Rejected
	// Unanswered is a SYN that the server has not answered. It ends the flow at that
	// server.
	Unanswered
	// Ended is a flow that this VM no longer counts.
	Ended
)

// Report describes a transition of one flow.
type Report struct {
	Transition Transition
	Server     uint32
	Work       uint16
	// Caller is the caller's address if a packet caused the transition.
	Caller [16]byte
	// State is the state of the record before the transition.
	State State
	// Responded is set once the server has sent data.
	Responded bool
	// ResponseTime is how long the server took, for Answered and Responded; 0 if
	// unknown.
	ResponseTime time.Duration
}

// report reports the transition that a packet caused in a flow that this VM counts.
func (e *Engine) report(ev *Event, before, after *entry) {
	if !before.has(counted) {
		return
	}
	now := ticks(ev.Now)
	r := before.report(ev.Key.Caller)
	switch {
	case before.state == Opening && ev.Source == FromServer && after.state == Closed:
		r.Transition = Rejected
	case !after.has(counted):
		r.Transition = Ended
	case before.state == Opening && after.state == Accepted:
		r.Transition = Answered
		r.ResponseTime = now.sub(before.placedAt)
	case before.state < Complete && after.state >= Complete && !after.has(datagram):
		r.Transition = Established
	case !before.has(responded) && after.has(responded):
		r.Transition = Responded
		if before.leaseEnd != 0 {
			r.ResponseTime = max(now.sub(before.leaseEnd), 0)
		}
	default:
		return
	}
	e.placer.Report(ev.Now, r)
}

// report returns a Report on the entry, without a transition.
func (e *entry) report(caller [16]byte) Report {
	return Report{Server: e.server, Work: e.work, Caller: caller, State: e.state, Responded: e.has(responded)}
}

// reportTransition reports a transition that is not derived from a packet.
func (e *Engine) reportTransition(now time.Duration, t Transition, en *entry, caller [16]byte) {
	r := en.report(caller)
	r.Transition = t
	e.placer.Report(now, r)
}
