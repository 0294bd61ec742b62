package lhwire

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Bounds on the size of an ICMP error in bytes: for IPv4 from RFC 1812, section
// 4.3.2.3, for IPv6 from RFC 4443, section 2.4.
const (
	maxICMP4Size   = 576
	maxICMP6Size   = 1280
	ip4HeaderSize  = 20
	icmp6HeaderLen = 4
)

// ICMPv6 codes and types that replies use.
const (
	icmp6AdminProhibited = 1
)

// ResetToCaller returns the RST that answers a caller's segment as RFC 9293,
// section 3.10.7.1, says, as an inner packet. It returns nil for a packet that
// must not be answered with one: a RST, an ICMP error or a datagram.
func ResetToCaller(p *Packet) []byte {
	if p.proto != lhflow.TCP || p.quoted || p.flags.Has(lhflow.RST) {
		return nil
	}
	tcp := layers.TCP{RST: true}
	if p.flags.Has(lhflow.ACK) {
		tcp.Seq = p.ack
	} else {
		tcp.ACK = true
		tcp.Ack = p.seq + segmentLength(p)
	}
	return tcpPacket(p.destination, p.source, &tcp, nil)
}

// segmentLength is SEG.LEN of RFC 9293: the payload, and one each for SYN and FIN.
func segmentLength(p *Packet) uint32 {
	length := uint32(len(p.payload))
	if p.flags.Has(lhflow.SYN) {
		length++
	}
	if p.flags.Has(lhflow.FIN) {
		length++
	}
	return length
}

// ResetToServer returns the RST with sequence number seq that abandons a flow as
// if the caller had done so, as an inner packet. For a half-open flow seq is the
// sequence number of the SYN plus one.
func ResetToServer(key lhflow.Key, seq uint32) []byte {
	return tcpPacket(key.CallerAddr(), key.ServiceAddr(), &layers.TCP{RST: true, Seq: seq}, nil)
}

// Prohibited returns the ICMP error that tells the sender of p that the packet
// was refused by policy, as an inner packet. It returns nil when p is itself an
// ICMP error.
func Prohibited(p *Packet) []byte {
	return icmpError(p,
		layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(
			layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeCommAdminProhibited)},
		layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, icmp6AdminProhibited), 0)
}

// TooBig returns the ICMP error that tells the sender of p to send packets of at
// most mtu bytes, as an inner packet. It returns nil when p is itself an ICMP error.
func TooBig(p *Packet, mtu uint16) []byte {
	return icmpError(p,
		layers.ICMPv4{Seq: mtu, TypeCode: layers.CreateICMPv4TypeCode(
			layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)},
		layers.CreateICMPv6TypeCode(layers.ICMPv6TypePacketTooBig, 0), mtu)
}

// StripSYNData returns the inner packet of a SYN without its payload. Any other
// packet is returned as it is.
func StripSYNData(p *Packet) []byte {
	if !p.flags.Has(lhflow.SYN) || len(p.payload) == 0 {
		return p.inner
	}
	var d Decoder
	if _, fault := d.DecodeInner(p.inner); fault != FaultNone {
		return nil
	}
	if p.inner[0]>>4 == 6 {
		return serialize(&d.ip6, &d.ip6, &d.tcp)
	}
	return serialize(&d.ip4, &d.ip4, &d.tcp)
}

// icmpError builds an ICMP error about p, to its sender and from its destination.
func icmpError(p *Packet, v4 layers.ICMPv4, v6 layers.ICMPv6TypeCode, mtu uint16) []byte {
	if p.quoted {
		return nil
	}
	if p.source.Addr().Is4() {
		quote := p.inner[:min(len(p.inner), maxICMP4Size-ip4HeaderSize-icmp4HeaderSize)]
		ip := header4(p.destination.Addr(), p.source.Addr(), layers.IPProtocolICMPv4)
		return serialize(ip, ip, &v4, gopacket.Payload(quote))
	}
	quote := p.inner[:min(len(p.inner), maxICMP6Size-ip6HeaderSize-icmp6HeaderLen-icmp6UnusedSize)]
	body := append([]byte{0, 0, byte(mtu >> 8), byte(mtu)}, quote...)
	ip := header6(p.destination.Addr(), p.source.Addr(), layers.IPProtocolICMPv6)
	return serialize(ip, ip, &layers.ICMPv6{TypeCode: v6}, gopacket.Payload(body))
}
