package lhflow

import "time"

// Placer chooses the backend servers of new flows, knows which servers there are
// and hears what becomes of the flows that this VM owns first. Its methods are
// called from several threads and return without waiting.
type Placer interface {
	// Place admits a new flow and chooses its server, which is not tried.
	Place(now time.Duration, id ID, key Key, tried uint32) Placement
	// Holds reports whether the server with this number is still declared for
	// the service of key.
	Holds(server uint32, key Key) bool
	// Declared reports whether a server with this number is still declared.
	Declared(server uint32) bool
	// Accepts reports whether the server takes new flows.
	Accepts(server uint32) bool
	// Retry takes one from the retry budget; false when there is none left.
	Retry(key Key) bool
	// Patience returns how long a handshake with the server may take at present.
	Patience(now time.Duration, server uint32) time.Duration
	// Report says what became of a flow.
	Report(now time.Duration, r Report)
}

// Placement is the outcome of placing a new flow. Server is 0 when the flow is
// refused for Reason.
type Placement struct {
	Server uint32
	Work   uint16
	Reason Reason
}

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
