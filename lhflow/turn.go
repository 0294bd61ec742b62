package lhflow

import "time"

// Turn is a step in the life of a flow.
type Turn uint8

// The turns.
const (
	// Opened is a flow that this VM has placed.
	Opened Turn = iota
	// Adopted is a flow that another VM placed and this VM owns first from now on.
	Adopted
	// Answered is a SYN that the server has answered, Report.After its arrival.
	Answered
	// Established is a flow whose caller has completed the handshake.
	Established
	// Served is the server's first data, Report.After the caller's.
	Served
	// Rejected is a SYN that the server has answered with a reset. Ends the flow.
	Rejected
	// Silent is a SYN that the server has not answered. Ends the flow there.
	Silent
	// Ended is a flow that this VM counts no more.
	Ended
)

// Report is a turn of one flow.
type Report struct {
	Turn   Turn
	Server uint32
	Work   uint16
	// Caller is the caller's address where the turn comes from a packet.
	Caller [16]byte
	// State is the state of the record before the turn.
	State State
	// Done is set once the server has sent data.
	Done bool
	// After is the time that the server took, for Answered and Served; 0 if not known.
	After time.Duration
}

// report tells the placer what a packet has changed of a flow that this VM counts.
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
		r.After = now.after(before.placed)
	case before.state < Complete && after.state >= Complete && !after.has(datagram):
		r.Turn = Established
	case !before.has(served) && after.has(served):
		r.Turn = Served
		if before.lease != 0 {
			r.After = max(now.after(before.lease), 0)
		}
	default:
		return
	}
	e.placer.Report(ev.Now, r)
}

// report returns a Report of the entry as it stands, without a turn.
func (e *entry) report(caller [16]byte) Report {
	return Report{Server: e.server, Work: e.work, Caller: caller, State: e.state, Done: e.has(served)}
}

// tell reports a turn of a flow apart from any packet.
func (e *Engine) tell(now time.Duration, t Turn, en *entry, caller [16]byte) {
	r := en.report(caller)
	r.Turn = t
	e.placer.Report(now, r)
}
