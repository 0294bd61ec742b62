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
