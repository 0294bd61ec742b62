package lhwire

import (
	"encoding/binary"
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Packet is one inner IP packet together with what a member said about it. It
// is valid until its Decoder decodes the next one.
type Packet struct {
	// inner aliases the decoded buffer and is exactly one IP packet.
	inner []byte
	// source and destination are ends of the flow. For an ICMP error they are
	// those of a packet in the error's own direction.
	source      netip.AddrPort
	destination netip.AddrPort
	proto       lhflow.Proto
	// flags, seq, ack are 0 for UDP and ICMP errors.
	flags lhflow.Flags
	seq   uint32
	ack   uint32
	// payload aliases inner; it is empty for ICMP errors.
	payload []byte
	quoted  bool
	sender  lhflow.MemberID
	// relay is its zero value when sender is 0.
	relay lhflow.Relay
	// option aliases the body of the relay option; it is nil when sender is 0.
	option []byte
}

// Inner returns the inner IP packet, which aliases the decoded buffer.
func (p *Packet) Inner() []byte { return p.inner }

// Source returns the end of the flow that the packet comes from.
func (p *Packet) Source() netip.AddrPort { return p.source }

// Destination returns the end of the flow that the packet goes to.
func (p *Packet) Destination() netip.AddrPort { return p.destination }

// Proto returns the protocol of the packet's flow.
func (p *Packet) Proto() lhflow.Proto { return p.proto }

// Flags returns the TCP flags.
func (p *Packet) Flags() lhflow.Flags { return p.flags }

// Seq returns the TCP sequence number.
func (p *Packet) Seq() uint32 { return p.seq }

// Ack returns the TCP acknowledgement number.
func (p *Packet) Ack() uint32 { return p.ack }

// Payload returns the payload, which aliases the decoded buffer.
func (p *Packet) Payload() []byte { return p.payload }

// Data returns the length of the payload in bytes.
func (p *Packet) Data() int { return len(p.payload) }

// Quoted reports whether the packet is an ICMP error about a packet of its flow.
func (p *Packet) Quoted() bool { return p.quoted }

// Sender returns the member that passed the packet on, or 0 when none did.
func (p *Packet) Sender() lhflow.MemberID { return p.sender }

// Relay returns what the sender said about the packet.
func (p *Packet) Relay() lhflow.Relay { return p.relay }

// Key returns the key of the packet's flow, given which end sent the packet.
func (p *Packet) Key(src lhflow.Source) lhflow.Key {
	if src == lhflow.FromServer {
		return lhflow.NewKey(p.proto, p.destination, p.source)
	}
	return lhflow.NewKey(p.proto, p.source, p.destination)
}

// Forward takes one from the hop limit of the inner packet, in place. It leaves
// the packet unchanged and returns FaultHopLimit when none is left.
func (p *Packet) Forward() Fault {
	if p.inner[0]>>4 == 6 {
		return forward6(p.inner)
	}
	return forward4(p.inner)
}

// Offsets of header fields, in bytes.
const (
	ip4LengthAt   = 2
	ip4TTLAt      = 8
	ip4ChecksumAt = 10
	ip6LengthAt   = 4
	ip6HopLimitAt = 7
)

func forward6(inner []byte) Fault {
	if inner[ip6HopLimitAt] <= 1 {
		return FaultHopLimit
	}
	inner[ip6HopLimitAt]--
	return FaultNone
}

// forward4 updates the checksum as RFC 1624 says: HC' = ~(~HC + ~m + m'), where
// m is the 16-bit word that holds the TTL in its upper half.
func forward4(inner []byte) Fault {
	if inner[ip4TTLAt] <= 1 {
		return FaultHopLimit
	}
	before := binary.BigEndian.Uint16(inner[ip4TTLAt:])
	inner[ip4TTLAt]--
	after := binary.BigEndian.Uint16(inner[ip4TTLAt:])
	checksum := binary.BigEndian.Uint16(inner[ip4ChecksumAt:])
	sum := uint32(^checksum) + uint32(^before) + uint32(after)
	sum = sum>>16 + sum&0xffff
	sum = sum>>16 + sum&0xffff
	binary.BigEndian.PutUint16(inner[ip4ChecksumAt:], ^uint16(sum))
	return FaultNone
}
