package lhflow

// State is the state of a flow's record. It only ever grows during one flow.
type State uint8

// The states of a record.
const (
	// Refused is a flow that was refused and sent to no server.
	Refused State = iota + 1
	// Opening is a flow whose SYN has gone to a server that has not answered.
	Opening
	// Accepted is a flow whose server has answered the SYN.
	Accepted
	// Complete is a flow whose caller has completed the handshake, or a new UDP flow.
	Complete
	// Open is a flow whose server has answered after that.
	Open
	// Closing is a flow of which an end has sent FIN.
	Closing
	// Closed is a flow that was reset or of which both ends have sent FIN.
	Closed
)

// Record is what is handed over of one flow between members.
type Record struct {
	ID     ID
	Server uint32
	ISN    uint32
	State  State
	Work   uint16
}
