package lhwire

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket/layers"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Sizes in bytes of the headers before the quoted packet in an ICMP error.
const (
	icmp4HeaderSize = 8
	// icmp6UnusedSize is the size of the field between the ICMPv6 header and the
	// quoted packet.
	icmp6UnusedSize = 4
)

// portsSize is the size of the ports at the start of a TCP or UDP header. An ICMP
// error may quote as few as four more bytes.
const portsSize = 4

func (d *Decoder) decodeICMP4(message []byte) Fault {
	d.truncated = false
	if err := d.icmp4.DecodeFromBytes(message, d); err != nil {
		return d.layerFault()
	}
	switch d.icmp4.TypeCode.Type() {
	case layers.ICMPv4TypeDestinationUnreachable,
		layers.ICMPv4TypeTimeExceeded,
		layers.ICMPv4TypeParameterProblem:
	default:
		return FaultProtocol
	}
	if f := d.decodeIP4Header(d.icmp4.Payload); f != FaultNone {
		return f
	}
	if d.ip4.Version != 4 {
		return FaultVersion
	}
	if d.ip4.FragOffset != 0 {
		return FaultFragment
	}
	source, destination := addresses(d.ip4.SrcIP, d.ip4.DstIP)
	return d.decodeQuoted(d.ip4.Protocol, source, destination, d.ip4.Payload)
}

func (d *Decoder) decodeICMP6(message []byte) Fault {
	d.truncated = false
	if err := d.icmp6.DecodeFromBytes(message, d); err != nil {
		return d.layerFault()
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
	if f := d.decodeIP6Header(d.icmp6.Payload[icmp6UnusedSize:]); f != FaultNone {
		return f
	}
	if d.ip6.Version != 6 {
		return FaultVersion
	}
	if d.ip6.NextHeader == layers.IPProtocolIPv6Fragment {
		return FaultFragment
	}
	source, destination := addresses(d.ip6.SrcIP, d.ip6.DstIP)
	return d.decodeQuoted(d.ip6.NextHeader, source, destination, d.ip6.Payload)
}

// decodeQuoted assigns an ICMP error to the flow of the packet that it quotes. The
// quoted packet went from source to destination, so the error is directed to source.
func (d *Decoder) decodeQuoted(proto layers.IPProtocol, source, destination netip.Addr, payload []byte) Fault {
	if proto != layers.IPProtocolTCP && proto != layers.IPProtocolUDP {
		return FaultProtocol
	}
	if len(payload) < portsSize {
		return FaultTruncated
	}
	if !validEndpoints(source, destination) {
		return FaultAddress
	}
	sourcePort := binary.BigEndian.Uint16(payload)
	destinationPort := binary.BigEndian.Uint16(payload[2:])
	d.packet.icmpError = true
	d.packet.proto = lhflow.Proto(proto)
	d.packet.source = netip.AddrPortFrom(destination, destinationPort)
	d.packet.destination = netip.AddrPortFrom(source, sourcePort)
	return FaultNone
}
