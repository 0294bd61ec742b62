package lhwire

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket/layers"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Decoder decodes one datagram after the other without allocation. Its zero
// value is ready for use; it is not safe for use by several goroutines.
type Decoder struct {
	packet Packet
	// truncated is set by gopacket when a layer ends early.
	truncated bool
	// header is the fixed part of the Geneve header, without options.
	header [geneveHeaderSize]byte
	geneve layers.Geneve
	ip4    layers.IPv4
	ip6    layers.IPv6
	tcp    layers.TCP
	udp    layers.UDP
	icmp4  layers.ICMPv4
	icmp6  layers.ICMPv6
}

// SetTruncated implements gopacket.DecodeFeedback.
func (d *Decoder) SetTruncated() { d.truncated = true }

// Decode decodes the payload of one UDP datagram: a Geneve packet with an inner
// IP packet. The returned Packet is valid until the next call and aliases buf; it
// is nil when there is a fault.
func (d *Decoder) Decode(buf []byte) (*Packet, Fault) {
	d.packet = Packet{}
	inner, fault := d.decodeGeneve(buf)
	if fault != FaultNone {
		return nil, fault
	}
	if fault = d.decodeInner(inner); fault != FaultNone {
		return nil, fault
	}
	return &d.packet, FaultNone
}

// DecodeInner decodes an IP packet that is in no Geneve packet.
func (d *Decoder) DecodeInner(inner []byte) (*Packet, Fault) {
	d.packet = Packet{}
	if fault := d.decodeInner(inner); fault != FaultNone {
		return nil, fault
	}
	return &d.packet, FaultNone
}

// decodeGeneve reads the Geneve header and returns the inner packet.
func (d *Decoder) decodeGeneve(buf []byte) ([]byte, Fault) {
	if len(buf) < geneveHeaderSize {
		return nil, FaultTruncated
	}
	size := geneveHeaderSize + int(buf[0]&optionLenMask)*optionUnit
	if size > len(buf) {
		return nil, FaultTruncated
	}
	copy(d.header[:], buf)
	d.header[0] &^= optionLenMask
	if err := d.geneve.DecodeFromBytes(d.header[:], d); err != nil {
		return nil, FaultTruncated
	}
	if d.geneve.Version != 0 {
		return nil, FaultVersion
	}
	inner := buf[size:]
	if d.geneve.OAMPacket || d.geneve.VNI != 0 || !d.carriesIP(inner) {
		return nil, FaultForeign
	}
	return inner, d.packet.readOptions(buf[geneveHeaderSize:size])
}

// carriesIP reports whether the protocol that the Geneve header names is the one
// of the inner packet. An empty inner packet is left to decodeInner.
func (d *Decoder) carriesIP(inner []byte) bool {
	switch d.geneve.Protocol {
	case layers.EthernetTypeIPv4:
		return len(inner) == 0 || inner[0]>>4 == 4
	case layers.EthernetTypeIPv6:
		return len(inner) == 0 || inner[0]>>4 == 6
	}
	return false
}

func (d *Decoder) decodeInner(inner []byte) Fault {
	if len(inner) == 0 {
		return FaultTruncated
	}
	d.packet.inner = inner
	switch inner[0] >> 4 {
	case 4:
		return d.decodeIP4(inner)
	case 6:
		return d.decodeIP6(inner)
	}
	return FaultVersion
}

func (d *Decoder) decodeIP4(inner []byte) Fault {
	if f := d.readIP4(inner); f != FaultNone {
		return f
	}
	if int(binary.BigEndian.Uint16(inner[ip4LengthAt:])) != len(inner) {
		return FaultLength
	}
	if _, sum := d.ip4.VerifyChecksum(); !sum.Valid {
		return FaultChecksum
	}
	if d.ip4.TTL == 0 {
		return FaultHopLimit
	}
	if d.ip4.Flags&layers.IPv4MoreFragments != 0 || d.ip4.FragOffset != 0 {
		return FaultFragment
	}
	source, destination := addresses(d.ip4.SrcIP, d.ip4.DstIP)
	if !endpoints(source, destination) {
		return FaultAddress
	}
	if d.ip4.Protocol == layers.IPProtocolICMPv4 {
		return d.decodeICMP4(d.ip4.Payload)
	}
	return d.decodeTransport(d.ip4.Protocol, source, destination, d.ip4.Payload)
}

// readIP4 reads an IPv4 header. A packet that an ICMP error quotes may be cut
// off after the header.
func (d *Decoder) readIP4(packet []byte) Fault {
	d.truncated = false
	if err := d.ip4.DecodeFromBytes(packet, d); err != nil {
		return d.malformed()
	}
	return FaultNone
}

func (d *Decoder) decodeIP6(inner []byte) Fault {
	if f := d.readIP6(inner); f != FaultNone {
		return f
	}
	if int(d.ip6.Length)+ip6HeaderSize != len(inner) {
		return FaultLength
	}
	if d.ip6.HopLimit == 0 {
		return FaultHopLimit
	}
	source, destination := addresses(d.ip6.SrcIP, d.ip6.DstIP)
	if !endpoints(source, destination) {
		return FaultAddress
	}
	switch d.ip6.NextHeader {
	case layers.IPProtocolIPv6Fragment:
		return FaultFragment
	case layers.IPProtocolICMPv6:
		return d.decodeICMP6(d.ip6.Payload)
	}
	return d.decodeTransport(d.ip6.NextHeader, source, destination, d.ip6.Payload)
}

// ip6HeaderSize is the size of an IPv6 header in bytes.
const ip6HeaderSize = 40

// readIP6 reads an IPv6 header. Hop-by-hop options are not supported; they are
// refused before gopacket would copy them to the heap.
func (d *Decoder) readIP6(packet []byte) Fault {
	if len(packet) < ip6HeaderSize {
		return FaultTruncated
	}
	if layers.IPProtocol(packet[6]) == layers.IPProtocolIPv6HopByHop {
		return FaultProtocol
	}
	d.truncated = false
	if err := d.ip6.DecodeFromBytes(packet, d); err != nil {
		return d.malformed()
	}
	return FaultNone
}

func (d *Decoder) decodeTransport(proto layers.IPProtocol, source, destination netip.Addr, payload []byte) Fault {
	var sourcePort, destinationPort uint16
	var fault Fault
	switch proto {
	case layers.IPProtocolTCP:
		sourcePort, destinationPort, fault = d.decodeTCP(payload)
	case layers.IPProtocolUDP:
		sourcePort, destinationPort, fault = d.decodeUDP(payload)
	default:
		return FaultProtocol
	}
	d.packet.proto = lhflow.Proto(proto)
	d.packet.source = netip.AddrPortFrom(source, sourcePort)
	d.packet.destination = netip.AddrPortFrom(destination, destinationPort)
	return fault
}

func (d *Decoder) decodeTCP(segment []byte) (source, destination uint16, _ Fault) {
	d.truncated = false
	if err := d.tcp.DecodeFromBytes(segment, d); err != nil {
		return 0, 0, d.malformed()
	}
	p := &d.packet
	p.flags = lhflow.Flags(segment[13]) & (lhflow.FIN | lhflow.SYN | lhflow.RST | lhflow.ACK)
	p.seq = d.tcp.Seq
	p.ack = d.tcp.Ack
	p.payload = d.tcp.Payload
	return uint16(d.tcp.SrcPort), uint16(d.tcp.DstPort), FaultNone
}

func (d *Decoder) decodeUDP(datagram []byte) (source, destination uint16, _ Fault) {
	d.truncated = false
	if err := d.udp.DecodeFromBytes(datagram, d); err != nil {
		return 0, 0, d.malformed()
	}
	if int(d.udp.Length) != len(datagram) {
		return 0, 0, FaultLength
	}
	d.packet.payload = d.udp.Payload
	return uint16(d.udp.SrcPort), uint16(d.udp.DstPort), FaultNone
}

// malformed returns the fault of a layer that gopacket refused.
func (d *Decoder) malformed() Fault {
	if d.truncated {
		return FaultTruncated
	}
	return FaultHeader
}

// addresses converts the addresses of an IP header. They are of the same family.
func addresses(source, destination []byte) (s, d netip.Addr) {
	s, _ = netip.AddrFromSlice(source)
	d, _ = netip.AddrFromSlice(destination)
	return s, d
}

// endpoints reports whether a flow can have the two addresses as its ends. An
// IPv4 address mapped to IPv6 is refused, as its Key would be the IPv4 flow's.
func endpoints(source, destination netip.Addr) bool {
	return source != destination && unicast(source) && unicast(destination)
}

func unicast(a netip.Addr) bool {
	return !a.IsUnspecified() && !a.IsMulticast() && !a.Is4In6()
}
