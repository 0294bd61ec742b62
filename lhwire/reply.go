package lhwire

import (
	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Maximum sizes of ICMP errors in bytes, from RFC 1812, section 4.3.2.3, for IPv4
// and RFC 4443, section 2.4, for IPv6, and sizes of headers.
const (
	maxICMP4Size    = 576
	maxICMP6Size    = 1280
	ip4HeaderSize   = 20
	icmp6HeaderSize = 4
)

// ICMPv6 codes of replies.
const (
	icmp6AdminProhibited = 1
)

// ResetToCaller returns an inner packet with the RST that answers a caller's
// segment as specified in RFC 9293, section 3.10.7.1. It returns nil for a packet
// that must not be answered with a RST: a RST, an ICMP error or a UDP datagram.
func ResetToCaller(p *Packet) []byte {
	if p.proto != lhflow.TCP || p.icmpError || p.flags.Has(lhflow.RST) {
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

// segmentLength returns SEG.LEN of RFC 9293: the length of the payload, plus one
// each for SYN and FIN.
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

// ResetToServer returns an inner packet with a RST that aborts a flow on behalf of
// the caller, with sequence number seq. For a half-open flow, seq is the sequence
// number of the SYN plus one.
func ResetToServer(key lhflow.Key, seq uint32) []byte {
	return tcpPacket(key.CallerAddr(), key.ServiceAddr(), &layers.TCP{RST: true, Seq: seq}, nil)
}

// ICMPAdminProhibited returns an inner packet with the ICMP error "destination
// unreachable, communication administratively prohibited" for the sender of p. It
// returns nil if p is itself an ICMP error.
func ICMPAdminProhibited(p *Packet) []byte {
	return icmpError(p,
		layers.ICMPv4{TypeCode: layers.CreateICMPv4TypeCode(
			layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeCommAdminProhibited)},
		layers.CreateICMPv6TypeCode(layers.ICMPv6TypeDestinationUnreachable, icmp6AdminProhibited), 0)
}

// ICMPPacketTooBig returns an inner packet with the ICMP error that reports a path MTU
// of mtu bytes to the sender of p. It returns nil if p is itself an ICMP error.
func ICMPPacketTooBig(p *Packet, mtu uint16) []byte {
	return icmpError(p,
		layers.ICMPv4{Seq: mtu, TypeCode: layers.CreateICMPv4TypeCode(
			layers.ICMPv4TypeDestinationUnreachable, layers.ICMPv4CodeFragmentationNeeded)},
		layers.CreateICMPv6TypeCode(layers.ICMPv6TypePacketTooBig, 0), mtu)
}

// StripSYNData returns the inner packet of a SYN without its payload. It returns
// any other packet unchanged.
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

// icmpError builds an ICMP error that quotes p. It is addressed to the source of p
// and sent from its destination.
func icmpError(p *Packet, v4 layers.ICMPv4, v6 layers.ICMPv6TypeCode, mtu uint16) []byte {
	if p.icmpError {
		return nil
	}
	if p.source.Addr().Is4() {
		quote := p.inner[:min(len(p.inner), maxICMP4Size-ip4HeaderSize-icmp4HeaderSize)]
		ip := ip4Header(p.destination.Addr(), p.source.Addr(), layers.IPProtocolICMPv4)
		return serialize(ip, ip, &v4, gopacket.Payload(quote))
	}
	quote := p.inner[:min(len(p.inner), maxICMP6Size-ip6HeaderSize-icmp6HeaderSize-icmp6UnusedSize)]
	body := append([]byte{0, 0, byte(mtu >> 8), byte(mtu)}, quote...)
	ip := ip6Header(p.destination.Addr(), p.source.Addr(), layers.IPProtocolICMPv6)
	return serialize(ip, ip, &layers.ICMPv6{TypeCode: v6}, gopacket.Payload(body))
}
