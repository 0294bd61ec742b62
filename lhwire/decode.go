package lhwire

import (
	"encoding/binary"
	"net/netip"

	"github.com/gopacket/gopacket/layers"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Decoder decodes datagrams without allocating. The zero value is ready for use.
// A Decoder is not safe for concurrent use.
type Decoder struct {
	packet Packet
	// truncated is set by gopacket when a layer is cut short.
	truncated bool
	// fixedHeader is the fixed part of the Geneve header, without options.
	fixedHeader [geneveHeaderSize]byte
	geneve      layers.Geneve
	ip4         layers.IPv4
	ip6         layers.IPv6
	tcp         layers.TCP
	udp         layers.UDP
	icmp4       layers.ICMPv4
	icmp6       layers.ICMPv6
}

// SetTruncated implements gopacket.DecodeFeedback.
func (d *Decoder) SetTruncated() { d.truncated = true }

// Decode decodes the payload of one UDP datagram, a Geneve packet that
// encapsulates an IP packet. The returned Packet aliases buf and is valid until
// the next call. It is nil if the fault is not FaultNone.
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

// DecodeInner decodes an IP packet without Geneve encapsulation.
func (d *Decoder) DecodeInner(inner []byte) (*Packet, Fault) {
	d.packet = Packet{}
	if fault := d.decodeInner(inner); fault != FaultNone {
		return nil, fault
	}
	return &d.packet, FaultNone
}

// decodeGeneve decodes the Geneve header and returns the inner packet.
func (d *Decoder) decodeGeneve(buf []byte) ([]byte, Fault) {
	if len(buf) < geneveHeaderSize {
		return nil, FaultTruncated
	}
	size := geneveHeaderSize + int(buf[0]&optionLenMask)*optionUnit
	if size > len(buf) {
		return nil, FaultTruncated
	}
	copy(d.fixedHeader[:], buf)
	d.fixedHeader[0] &^= optionLenMask
	if err := d.geneve.DecodeFromBytes(d.fixedHeader[:], d); err != nil {
		return nil, FaultTruncated
	}
	if d.geneve.Version != 0 {
		return nil, FaultVersion
	}
	inner := buf[size:]
	if d.geneve.OAMPacket || d.geneve.VNI != 0 || !d.protocolMatches(inner) {
		return nil, FaultForeign
	}
	return inner, d.packet.decodeOptions(buf[geneveHeaderSize:size])
}

// protocolMatches reports whether the protocol field of the Geneve header agrees
// with the IP version of the inner packet. An empty inner packet is accepted and
// rejected later by decodeInner.
func (d *Decoder) protocolMatches(inner []byte) bool {
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
	if f := d.decodeIP4Header(inner); f != FaultNone {
		return f
	}
	if int(binary.BigEndian.Uint16(inner[ip4LengthOffset:])) != len(inner) {
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
	if !validEndpoints(source, destination) {
		return FaultAddress
	}
	if d.ip4.Protocol == layers.IPProtocolICMPv4 {
		return d.decodeICMP4(d.ip4.Payload)
	}
	return d.decodeTransport(d.ip4.Protocol, source, destination, d.ip4.Payload)
}

// decodeIP4Header decodes an IPv4 header. The payload may be truncated, as it is
// for a packet quoted by an ICMP error.
func (d *Decoder) decodeIP4Header(packet []byte) Fault {
	d.truncated = false
	if err := d.ip4.DecodeFromBytes(packet, d); err != nil {
		return d.layerFault()
	}
	return FaultNone
}

func (d *Decoder) decodeIP6(inner []byte) Fault {
	if f := d.decodeIP6Header(inner); f != FaultNone {
		return f
	}
	if int(d.ip6.Length)+ip6HeaderSize != len(inner) {
		return FaultLength
	}
	if d.ip6.HopLimit == 0 {
		return FaultHopLimit
	}
	source, destination := addresses(d.ip6.SrcIP, d.ip6.DstIP)
	if !validEndpoints(source, destination) {
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

// decodeIP6Header decodes an IPv6 header. Hop-by-hop options are not supported and
// are rejected before gopacket copies them to the heap.
func (d *Decoder) decodeIP6Header(packet []byte) Fault {
	if len(packet) < ip6HeaderSize {
		return FaultTruncated
	}
	if layers.IPProtocol(packet[6]) == layers.IPProtocolIPv6HopByHop {
		return FaultProtocol
	}
	d.truncated = false
	if err := d.ip6.DecodeFromBytes(packet, d); err != nil {
		return d.layerFault()
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
		return 0, 0, d.layerFault()
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
		return 0, 0, d.layerFault()
	}
	if int(d.udp.Length) != len(datagram) {
		return 0, 0, FaultLength
	}
	d.packet.payload = d.udp.Payload
	return uint16(d.udp.SrcPort), uint16(d.udp.DstPort), FaultNone
}

// layerFault returns the fault for a layer that gopacket failed to decode.
func (d *Decoder) layerFault() Fault {
	if d.truncated {
		return FaultTruncated
	}
	return FaultHeader
}

// addresses converts the addresses of an IP header, which are of the same family.
func addresses(source, destination []byte) (s, d netip.Addr) {
	s, _ = netip.AddrFromSlice(source)
	d, _ = netip.AddrFromSlice(destination)
	return s, d
}

// validEndpoints reports whether the two addresses can be the endpoints of a flow.
// IPv4-mapped IPv6 addresses are rejected, because their Key would collide with
// that of the IPv4 flow.
func validEndpoints(source, destination netip.Addr) bool {
	return source != destination && isUnicast(source) && isUnicast(destination)
}

func isUnicast(a netip.Addr) bool {
	return !a.IsUnspecified() && !a.IsMulticast() && !a.Is4In6()
}
