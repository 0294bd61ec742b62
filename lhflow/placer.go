package lhflow

import "time"

// Placer selects the backend servers of new flows, knows which servers are
// declared, and receives reports on the flows whose first owner is this VM. Its
// methods are called concurrently and must not block.
type Placer interface {
	// Place admits a new flow and selects a server other than tried for it.
	Place(now time.Duration, id ID, key Key, tried uint32) Placement
	// Serves reports whether the server with this number is still declared for
	// the service of key.
	Serves(server uint32, key Key) bool
	// Declared reports whether a server with this number is still declared.
	Declared(server uint32) bool
	// Accepts reports whether the server accepts new flows.
	Accepts(server uint32) bool
	// Retry consumes a token of the retry budget; it returns false if none is left.
	Retry(key Key) bool
	// HandshakeTimeout returns how long a handshake with the server may take at
	// present.
	HandshakeTimeout(now time.Duration, server uint32) time.Duration
	// Report reports a state transition of a flow.
	Report(now time.Duration, r Report)
}

// Placement is the result of placing a new flow. Server is 0 if the flow is refused
// for Reason.
type Placement struct {
	Server uint32
	Work   uint16
	Reason Reason
}
