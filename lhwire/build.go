package lhwire

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// defaultHopLimit is the TTL or hop limit of generated packets.
const defaultHopLimit = 64

// Segment is a TCP segment to be sent by an endpoint.
type Segment struct {
	// From and To are of the same address family.
	From, To netip.AddrPort
	Flags    lhflow.Flags
	Seq      uint32
	Ack      uint32
	Window   uint16
	Data     []byte
}

// Inner returns an inner IP packet that carries the segment.
func (s Segment) Inner() []byte {
	tcp := layers.TCP{
		FIN: s.Flags.Has(lhflow.FIN), SYN: s.Flags.Has(lhflow.SYN),
		RST: s.Flags.Has(lhflow.RST), ACK: s.Flags.Has(lhflow.ACK),
		Seq: s.Seq, Ack: s.Ack, Window: s.Window,
	}
	return tcpPacket(s.From, s.To, &tcp, s.Data)
}

// Datagram is a UDP datagram to be sent by an endpoint.
type Datagram struct {
	// From and To are of the same address family.
	From, To netip.AddrPort
	Data     []byte
}

// Inner returns an inner IP packet that carries the datagram.
func (d Datagram) Inner() []byte {
	udp := layers.UDP{SrcPort: layers.UDPPort(d.From.Port()), DstPort: layers.UDPPort(d.To.Port())}
	ip := ipHeader(d.From.Addr(), d.To.Addr(), layers.IPProtocolUDP)
	return serialize(ip, ip, &udp, gopacket.Payload(d.Data))
}

func tcpPacket(from, to netip.AddrPort, tcp *layers.TCP, data []byte) []byte {
	tcp.SrcPort = layers.TCPPort(from.Port())
	tcp.DstPort = layers.TCPPort(to.Port())
	ip := ipHeader(from.Addr(), to.Addr(), layers.IPProtocolTCP)
	return serialize(ip, ip, tcp, gopacket.Payload(data))
}

// networkLayer is an IP header that can be serialized.
type networkLayer interface {
	gopacket.NetworkLayer
	gopacket.SerializableLayer
}

func ipHeader(from, to netip.Addr, proto layers.IPProtocol) networkLayer {
	if from.Is4() {
		return ip4Header(from, to, proto)
	}
	return ip6Header(from, to, proto)
}

func ip4Header(from, to netip.Addr, proto layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, TTL: defaultHopLimit, Protocol: proto, Flags: layers.IPv4DontFragment,
		SrcIP: from.AsSlice(), DstIP: to.AsSlice(),
	}
}

func ip6Header(from, to netip.Addr, proto layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{
		Version: 6, HopLimit: defaultHopLimit, NextHeader: proto,
		SrcIP: from.AsSlice(), DstIP: to.AsSlice(),
	}
}

// checksumLayer is a layer whose checksum covers the IP pseudo-header.
type checksumLayer interface {
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

// serialize encodes the layers and fills in lengths and checksums. It returns nil
// for layers that can't be combined; callers only pass valid combinations.
func serialize(ip gopacket.NetworkLayer, parts ...gopacket.SerializableLayer) []byte {
	for _, l := range parts {
		c, ok := l.(checksumLayer)
		if !ok {
			continue
		}
		if err := c.SetNetworkLayerForChecksum(ip); err != nil {
			return nil
		}
	}
	options := gopacket.SerializeOptions{FixLengths: true, ComputeChecksums: true}
	buf := gopacket.NewSerializeBuffer()
	if err := gopacket.SerializeLayers(buf, options, parts...); err != nil {
		return nil
	}
	return buf.Bytes()
}
