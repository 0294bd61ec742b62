package lhflow

import "time"

// Source says where a packet came from.
type Source uint8

// The sources of a packet. A packet that a peer passed on keeps the source that
// the peer saw.
const (
	FromCaller Source = iota
	FromServer
)

// Flags are the TCP flags that decisions look at.
type Flags uint8

// The flags, with the values they have in a TCP header.
const (
	FIN Flags = 1 << 0
	SYN Flags = 1 << 1
	RST Flags = 1 << 2
	ACK Flags = 1 << 4
)

// Has reports whether all flags of g are set.
func (f Flags) Has(g Flags) bool { return f&g == g }

// Event is a packet as the decisions see it.
type Event struct {
	// Now is the VM's monotonic time.
	Now time.Duration
	ID  ID
	Key Key
	// Source is the end of the flow that sent the packet.
	Source Source
	// Server is the number of the backend server that sent the packet; 0 when
	// Source is FromCaller.
	Server uint32
	// Flags, Seq and Ack are of the TCP header; 0 for UDP.
	Flags Flags
	Seq   uint32
	Ack   uint32
	// Data is the length of the payload in bytes.
	Data int
	// Quoted is set for an ICMP error about a packet of the flow.
	Quoted bool
	// Peer is the member that passed the packet on; 0 when none did.
	Peer MemberID
	// Relay is what that member said about the packet; its zero value when none did.
	Relay Relay
	// Mark is the number of a backend server that an earlier packet of the flow was
	// marked with and that the ends returned; 0 for none, or where packets carry none.
	Mark uint32
}

// RelayKind says why a member passes a packet on to another.
type RelayKind uint8

// The kinds of relay.
const (
	// RelayNone marks a packet that no member passed on.
	RelayNone RelayKind = iota
	// RelayAsk asks an owner of the flow to decide.
	RelayAsk
	// RelayCopy leaves the record with the second owner, which then sends the packet.
	RelayCopy
	// RelayTeach returns the packet together with the record; the receiver sends it.
	RelayTeach
	// RelayFind asks a member whether it still knows a flow that its owners have lost.
	RelayFind
)

// Relay travels with a packet between two members of a group.
type Relay struct {
	Kind RelayKind
	// Hops counts the members that have passed the packet on.
	Hops uint8
	// Attempt counts the servers that the flow's SYN was sent to; from 1.
	Attempt uint8
	// State is the state of the record that travels along.
	State State
	// Origin is the member that received the packet from outside the group.
	Origin MemberID
	// Stamp is the origin's clock in milliseconds when it passed the packet on;
	// a lease on a returned record counts from it.
	Stamp uint32
	// Source is the end of the flow that sent the packet.
	Source Source
	// Server is the number of the record's backend server; with RelayAsk and
	// RelayFind, of the server that sent the packet. 0 for none.
	Server uint32
	// ISN is the initial sequence number of the caller's SYN.
	ISN uint32
	// Work is the number of the flow's kind of work.
	Work uint16
}

// Action is what to do with a packet.
type Action uint8

// The actions.
const (
	// Drop discards the packet and counts Verdict.Reason.
	Drop Action = iota
	// ToServer sends the packet to Verdict.Server.
	ToServer
	// ToCaller sends the packet to the fabric.
	ToCaller
	// ToPeer passes the packet and Verdict.Relay on to Verdict.Peer.
	ToPeer
	// Refuse tells the caller that nothing ran: RST to its SYN, or ICMP for UDP.
	Refuse
	// Reset tells the caller that the outcome is not known: RST of the flow.
	Reset
)

// Verdict is what a VM does with one packet.
type Verdict struct {
	Action Action
	// Reason is why a packet is dropped, refused or reset.
	Reason Reason
	// Server is set for ToServer.
	Server uint32
	// Abandon is the number of a server whose half-open flow is to be reset; 0 for none.
	Abandon uint32
	// Peer and Relay are set for ToPeer.
	Peer  MemberID
	Relay Relay
}

// Reason is why a packet did not go on; each has a counter.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonNoService is an address and port that no service has.
	ReasonNoService
	// ReasonNoServer is a service without a server that takes new flows.
	ReasonNoServer
	// ReasonRefused is a flow that admission refused.
	ReasonRefused
	// ReasonServerGone is a flow whose server is declared no more.
	ReasonServerGone
	// ReasonUnknownFlow is a packet of a flow that no member knows.
	ReasonUnknownFlow
	// ReasonLateAnswer is an answer of a server that does not hold the flow.
	ReasonLateAnswer
	// ReasonCutOff is a packet whose owners can't be reached at present.
	ReasonCutOff
	// ReasonHops is a packet that was passed on too often.
	ReasonHops
	// ReasonReuse is a SYN that waits until leases on the port's last flow lapse.
	ReasonReuse
	// ReasonFull is a flow for which the table has no room.
	ReasonFull
	// ReasonSilent is a flow whose server did not answer.
	ReasonSilent
	// ReasonNoConfig is a packet that came before any configuration.
	ReasonNoConfig
	// ReasonCount is the number of reasons.
	ReasonCount
)
