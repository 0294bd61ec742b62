package lhflow

// State is the state of a flow's record. It never decreases during one flow.
type State uint8

// The states of a record.
const (
	// Refused is a flow that was refused and forwarded to no server.
	Refused State = iota + 1
	// Opening is a flow whose SYN was sent to a server that has not answered.
	Opening
	// Accepted is a flow whose server has answered the SYN.
	Accepted
	// Complete is a flow whose caller has completed the handshake, or a new UDP flow.
	Complete
	// Open is a flow whose server has sent a packet after the handshake.
	Open
	// Closing is a flow of which one end has sent FIN.
	Closing
	// Closed is a flow that was reset or of which both ends have sent FIN.
	Closed
)

// Record is the part of a flow's record that is handed over between members.
type Record struct {
	ID     ID
	Server uint32
	ISN    uint32
	State  State
	Work   uint16
}
