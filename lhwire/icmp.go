package lhwire

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket/layers"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Sizes in bytes of what precedes the quoted packet in an ICMP error.
const (
	icmp4HeaderSize = 8
	// icmp6UnusedSize is the field between ICMPv6 header and quoted packet.
	icmp6UnusedSize = 4
)

// portsSize is the size of the ports at the start of a TCP or UDP header; an
// error may quote as little as that and four bytes more.
const portsSize = 4

func (d *Decoder) decodeICMP4(message []byte) Fault {
	d.truncated = false
	if err := d.icmp4.DecodeFromBytes(message, d); err != nil {
		return d.malformed()
	}
	switch d.icmp4.TypeCode.Type() {
	case layers.ICMPv4TypeDestinationUnreachable,
		layers.ICMPv4TypeTimeExceeded,
		layers.ICMPv4TypeParameterProblem:
	default:
		return FaultProtocol
	}
	if f := d.readIP4(d.icmp4.Payload); f != FaultNone {
		return f
	}
	if d.ip4.Version != 4 {
		return FaultVersion
	}
	if d.ip4.FragOffset != 0 {
		return FaultFragment
	}
	source, destination := addresses(d.ip4.SrcIP, d.ip4.DstIP)
	return d.quote(d.ip4.Protocol, source, destination, d.ip4.Payload)
}

func (d *Decoder) decodeICMP6(message []byte) Fault {
	d.truncated = false
	if err := d.icmp6.DecodeFromBytes(message, d); err != nil {
		return d.malformed()
	}
	switch d.icmp6.TypeCode.Type() {
	case layers.ICMPv6TypeDestinationUnreachable,
		layers.ICMPv6TypePacketTooBig,
		layers.ICMPv6TypeTimeExceeded,
		layers.ICMPv6TypeParameterProblem:
	default:
		return FaultProtocol
	}
	if len(d.icmp6.Payload) < icmp6UnusedSize {
		return FaultTruncated
	}
	if f := d.readIP6(d.icmp6.Payload[icmp6UnusedSize:]); f != FaultNone {
		return f
	}
	if d.ip6.Version != 6 {
		return FaultVersion
	}
	if d.ip6.NextHeader == layers.IPProtocolIPv6Fragment {
		return FaultFragment
	}
	source, destination := addresses(d.ip6.SrcIP, d.ip6.DstIP)
	return d.quote(d.ip6.NextHeader, source, destination, d.ip6.Payload)
}

// quote makes the packet one of the flow of a quoted packet. The quoted packet
// went from source to destination, so the error goes to source.
func (d *Decoder) quote(proto layers.IPProtocol, source, destination netip.Addr, payload []byte) Fault {
	if proto != layers.IPProtocolTCP && proto != layers.IPProtocolUDP {
		return FaultProtocol
	}
	if len(payload) < portsSize {
		return FaultTruncated
	}
	if !endpoints(source, destination) {
		return FaultAddress
	}
	sourcePort := binary.BigEndian.Uint16(payload)
	destinationPort := binary.BigEndian.Uint16(payload[2:])
	d.packet.quoted = true
	d.packet.proto = lhflow.Proto(proto)
	d.packet.source = netip.AddrPortFrom(destination, destinationPort)
	d.packet.destination = netip.AddrPortFrom(source, sourcePort)
	return FaultNone
}
