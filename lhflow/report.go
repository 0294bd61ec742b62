package lhflow

import "time"

// Turn is a state transition of a flow.
type Turn uint8

// The transitions.
const (
	// Opened is a flow that this VM has placed.
	Opened Turn = iota
	// Adopted is a flow that another VM placed and whose first owner is now this
	// VM.
	Adopted
	// Answered is a SYN that the server has answered; Report.After is the response
	// time.
	Answered
	// Established is a flow whose caller has completed the handshake.
	Established
	// Served is the server's first data; Report.After is the time since the
	// caller's first data.
	Served
	// Rejected is a SYN that the server has answered with RST. It ends the flow.
	Rejected
	// Silent is a SYN that the server has not answered. It ends the flow at that
	// server.
	Silent
	// Ended is a flow that this VM no longer counts.
	Ended
)

// Report describes a transition of one flow.
type Report struct {
	Turn   Turn
	Server uint32
	Work   uint16
	// Caller is the caller's address if a packet caused the transition.
	Caller [16]byte
	// State is the state of the record before the transition.
	State State
	// Done is set once the server has sent data.
	Done bool
	// After is the server's response time, for Answered and Served; 0 if unknown.
	After time.Duration
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
		r.Turn = Rejected
	case !after.has(counted):
		r.Turn = Ended
	case before.state == Opening && after.state == Accepted:
		r.Turn = Answered
		r.After = now.sub(before.placedAt)
	case before.state < Complete && after.state >= Complete && !after.has(datagram):
		r.Turn = Established
	case !before.has(responded) && after.has(responded):
		r.Turn = Served
		if before.leaseEnd != 0 {
			r.After = max(now.sub(before.leaseEnd), 0)
		}
	default:
		return
	}
	e.placer.Report(ev.Now, r)
}

// report returns a Report on the entry, without a transition.
func (e *entry) report(caller [16]byte) Report {
	return Report{Server: e.server, Work: e.work, Caller: caller, State: e.state, Done: e.has(responded)}
}

// reportTransition reports a transition that is not derived from a packet.
func (e *Engine) reportTransition(now time.Duration, t Turn, en *entry, caller [16]byte) {
	r := en.report(caller)
	r.Turn = t
	e.placer.Report(now, r)
}
