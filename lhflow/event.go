package lhflow

import "time"

// Source is the origin of a packet.
type Source uint8

// The sources of a packet. A relayed packet keeps the source that the relaying peer
// saw.
const (
	FromCaller Source = iota
	FromServer
)

// Flags are the TCP flags that affect forwarding decisions.
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

// Event describes one received packet.
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
	// Data is the payload length in bytes.
	Data int
	// ICMPError is set for an ICMP error that quotes a packet of the flow.
	ICMPError bool
	// Peer is the member that relayed the packet; 0 if none did.
	Peer MemberID
	// Relay is the metadata that Peer sent with the packet; zero if Peer is 0.
	Relay Relay
	// Mark is the number of the backend server that an earlier packet of the flow
	// was marked with and that the ends echoed; 0 for none, or where packets carry
	// no mark.
	Mark uint32
}

// RelayKind is the purpose for which a member relays a packet to another.
type RelayKind uint8

// The kinds of relay.
const (
	// RelayNone is a packet that no member relayed.
	RelayNone RelayKind = iota
	// RelayRequest requests a decision from an owner of the flow.
	RelayRequest
	// RelayCopy replicates the record to the second owner, which then sends the
	// packet.
	RelayCopy
	// RelayReturn returns the packet together with the record; the receiver sends
	// the packet.
	RelayReturn
	// RelayLookup looks up a flow whose record the owners have lost.
	RelayLookup
)

// Relay is the metadata that accompanies a packet between two members of a group.
type Relay struct {
	Kind RelayKind
	// Hops is the number of times that the packet has been relayed.
	Hops uint8
	// Attempt is the number of servers that the flow's SYN was sent to, starting at
	// 1.
	Attempt uint8
	// State is the state of the record that is carried along.
	State State
	// Origin is the member that received the packet from outside the group.
	Origin MemberID
	// Stamp is the origin's clock in milliseconds when it relayed the packet. The
	// lease on a returned record starts at this time.
	Stamp uint32
	// Source is the end of the flow that sent the packet.
	Source Source
	// Server is the number of the record's backend server; with RelayRequest
	// and RelayLookup, of the server that sent the packet. 0 for none.
	Server uint32
	// ISN is the initial sequence number of the caller's SYN.
	ISN uint32
	// Work is the number of the flow's kind of work.
	Work uint16
}

// Action is how a packet is handled.
type Action uint8

// The actions.
const (
	// Drop discards the packet and counts Verdict.Reason.
	Drop Action = iota
	// ToServer sends the packet to Verdict.Server.
	ToServer
	// ToCaller sends the packet to the caller through the fabric.
	ToCaller
	// ToPeer relays the packet with Verdict.Relay to Verdict.Peer.
	ToPeer
	// Refuse tells the caller that no server has processed the flow: RST in
	// response to the SYN, or ICMP for UDP.
	Refuse
	// Reset tells the caller that the outcome is unknown: RST of the flow.
	Reset
)

// Verdict is the decision on one packet.
type Verdict struct {
	Action Action
	// Reason is why a packet is dropped, refused or reset.
	Reason Reason
	// Server is set for ToServer.
	Server uint32
	// AbandonedServer is the number of a server whose half-open flow is to be
	// reset; 0 for none.
	AbandonedServer uint32
	// Peer and Relay are set for ToPeer.
	Peer  MemberID
	Relay Relay
}

// Reason is why a packet was not forwarded. Each reason has a counter.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonNoService is a packet to an address and port that no service is
	// declared for.
	ReasonNoService
	// ReasonNoServer is a flow to a service without a server that accepts new
	// flows.
	ReasonNoServer
	// ReasonRefused is a flow that admission control refused.
	ReasonRefused
	// ReasonServerGone is a flow whose server is no longer declared.
	ReasonServerGone
	// ReasonUnknownFlow is a packet of a flow that no member knows.
	ReasonUnknownFlow
	// ReasonLateAnswer is a packet from a server that the flow is not assigned to.
	ReasonLateAnswer
	// ReasonCutOff is a packet whose owners are currently unreachable.
	ReasonCutOff
	// ReasonHops is a packet that exceeded the relay limit.
	ReasonHops
	// ReasonReuse is a SYN that is dropped until the leases on the port's previous
	// flow have expired.
	ReasonReuse
	// ReasonFull is a new flow that found the table full.
	ReasonFull
	// ReasonSilent is a flow whose server did not answer the SYN, or is gone by a probe.
	ReasonSilent
	// ReasonNoConfig is a packet that arrived before any configuration was loaded.
	ReasonNoConfig
	// ReasonStale is a SYN that may have waited while the process stood still.
	ReasonStale
	// ReasonEvacuated is a flow to a service all of whose servers are in evacuated data
	// centres.
	ReasonEvacuated
	// ReasonCount is the number of reasons.
	ReasonCount
)
