package lhpeer

import (
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Revision names a configuration that was accepted.
type Revision struct {
	Number uint64
	// Digest is a hash of the content; equal numbers have equal digests.
	Digest uint64
}

// Message is one half of an exchange between two members.
type Message struct {
	From lhflow.MemberID
	// To is the member that is meant to answer; 0 for whoever answers.
	To lhflow.MemberID
	// Target is a third member that the receiver shall probe; 0 for none.
	Target lhflow.MemberID
	// Reached says, in the answer to a probe, that the target has answered.
	Reached bool
	// Digest is a hash of the sender's view.
	Digest uint64
	// Sync asks for a page of entries with IDs above After. The answer's After
	// continues it and is 0 at the end.
	Sync  bool
	After lhflow.MemberID
	// Revision is the configuration that the sender has in force.
	Revision Revision
	// HandedOver says that the sender has handed over to the receiver.
	HandedOver bool
	Entries    []Entry
}

// Request is a message to be sent and answered.
type Request struct {
	// To is 0 where it is not known who answers at Control.
	To      lhflow.MemberID
	Control netip.AddrPort
	Message Message
	// Heartbeat marks a request whose failure leads to probes. A request that only
	// spreads news has no such weight, or loss would breed more requests.
	Heartbeat bool
}
