package lhwire

import (
	"encoding/binary"
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Packet is a decoded inner IP packet with its relay option, if any. It is valid
// until its Decoder decodes the next packet.
type Packet struct {
	// inner aliases the decoded buffer and contains exactly one IP packet.
	inner []byte
	// source and destination are the endpoints of the flow. For an ICMP error they
	// are those of a flow packet that travels in the direction of the error.
	source      netip.AddrPort
	destination netip.AddrPort
	proto       lhflow.Proto
	// flags, seq and ack are 0 for UDP and ICMP errors.
	flags lhflow.Flags
	seq   uint32
	ack   uint32
	// payload aliases inner; it is empty for ICMP errors.
	payload   []byte
	icmpError bool
	sender    lhflow.MemberID
	// relay is the zero value if sender is 0.
	relay lhflow.Relay
	// relayOption aliases the body of the relay option. It is nil if sender is 0.
	relayOption []byte
}

// Inner returns the inner IP packet, which aliases the decoded buffer.
func (p *Packet) Inner() []byte { return p.inner }

// Source returns the endpoint of the flow that the packet comes from.
func (p *Packet) Source() netip.AddrPort { return p.source }

// Destination returns the endpoint of the flow that the packet goes to.
func (p *Packet) Destination() netip.AddrPort { return p.destination }

// Proto returns the protocol of the packet's flow.
func (p *Packet) Proto() lhflow.Proto { return p.proto }

// Flags returns the TCP flags FIN, SYN, RST and ACK.
func (p *Packet) Flags() lhflow.Flags { return p.flags }

// Seq returns the TCP sequence number.
func (p *Packet) Seq() uint32 { return p.seq }

// Ack returns the TCP acknowledgement number.
func (p *Packet) Ack() uint32 { return p.ack }

// Payload returns the transport payload, which aliases the decoded buffer.
func (p *Packet) Payload() []byte { return p.payload }

// PayloadLen returns the length of the transport payload in bytes.
func (p *Packet) PayloadLen() int { return len(p.payload) }

// IsICMPError reports whether the packet is an ICMP error that quotes a packet of its
// flow.
func (p *Packet) IsICMPError() bool { return p.icmpError }

// Sender returns the member that relayed the packet, or 0 if it was not relayed.
func (p *Packet) Sender() lhflow.MemberID { return p.sender }

// Relay returns the contents of the relay option.
func (p *Packet) Relay() lhflow.Relay { return p.relay }

// Key returns the key of the packet's flow, given which endpoint sent the packet.
func (p *Packet) Key(src lhflow.Source) lhflow.Key {
	if src == lhflow.FromServer {
		return lhflow.NewKey(p.proto, p.destination, p.source)
	}
	return lhflow.NewKey(p.proto, p.source, p.destination)
}

// DecrementHopLimit decrements the TTL or hop limit of the inner packet in place. If
// the limit is exhausted, it leaves the packet unchanged and returns FaultHopLimit.
func (p *Packet) DecrementHopLimit() Fault {
	if p.inner[0]>>4 == 6 {
		return decrementHopLimit6(p.inner)
	}
	return decrementTTL4(p.inner)
}

// Offsets of header fields, in bytes.
const (
	ip4LengthOffset   = 2
	ip4TTLOffset      = 8
	ip4ChecksumOffset = 10
	ip6LengthOffset   = 4
	ip6HopLimitOffset = 7
)

func decrementHopLimit6(inner []byte) Fault {
	if inner[ip6HopLimitOffset] <= 1 {
		return FaultHopLimit
	}
	inner[ip6HopLimitOffset]--
	return FaultNone
}

// decrementTTL4 updates the checksum incrementally as specified in RFC 1624:
// HC' = ~(~HC + ~m + m'), where m is the 16-bit word whose upper half is the TTL.
func decrementTTL4(inner []byte) Fault {
	if inner[ip4TTLOffset] <= 1 {
		return FaultHopLimit
	}
	before := binary.BigEndian.Uint16(inner[ip4TTLOffset:])
	inner[ip4TTLOffset]--
	after := binary.BigEndian.Uint16(inner[ip4TTLOffset:])
	checksum := binary.BigEndian.Uint16(inner[ip4ChecksumOffset:])
	sum := uint32(^checksum) + uint32(^before) + uint32(after)
	sum = sum>>16 + sum&0xffff
	sum = sum>>16 + sum&0xffff
	binary.BigEndian.PutUint16(inner[ip4ChecksumOffset:], ^uint16(sum))
	return FaultNone
}
