package lhpeer

import (
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Revision identifies an accepted configuration.
type Revision struct {
	Number uint64
	// Digest is a hash of the content; equal numbers have equal digests.
	Digest uint64
}

// Message is the request or the reply of an exchange between two members.
type Message struct {
	From lhflow.MemberID
	// To is the intended receiver; 0 addresses whichever member answers.
	To lhflow.MemberID
	// Target is a third member that the receiver is asked to probe; 0 for none.
	Target lhflow.MemberID
	// Reached is set in the reply to a probe request if the target has answered.
	Reached bool
	// Digest is a hash of the sender's view.
	Digest uint64
	// Sync requests a page of entries with IDs above After. After in the reply is
	// the position of the next page, or 0 at the end.
	Sync  bool
	After lhflow.MemberID
	// Revision is the configuration that the sender has in force.
	Revision Revision
	// HandedOver is set if the sender has completed its hand-over to the receiver.
	HandedOver bool
	Entries    []Entry
}

// Request is a message that expects a reply.
type Request struct {
	// To is 0 if the member at Control is unknown.
	To      lhflow.MemberID
	Control netip.AddrPort
	Message Message
	// Heartbeat marks a request whose failure triggers probes. Requests that only
	// spread updates do not trigger them; otherwise packet loss would cause
	// additional requests.
	Heartbeat bool
}
