package lhwire

import (
	"net/netip"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// hopLimit is the hop limit of packets that are made here.
const hopLimit = 64

// Segment is a TCP segment as an endpoint sends it.
type Segment struct {
	// From and To are of the same address family.
	From, To netip.AddrPort
	Flags    lhflow.Flags
	Seq      uint32
	Ack      uint32
	Window   uint16
	Data     []byte
}

// Inner returns the segment in an inner IP packet.
func (s Segment) Inner() []byte {
	tcp := layers.TCP{
		FIN: s.Flags.Has(lhflow.FIN), SYN: s.Flags.Has(lhflow.SYN),
		RST: s.Flags.Has(lhflow.RST), ACK: s.Flags.Has(lhflow.ACK),
		Seq: s.Seq, Ack: s.Ack, Window: s.Window,
	}
	return tcpPacket(s.From, s.To, &tcp, s.Data)
}

// Datagram is a UDP datagram as an endpoint sends it.
type Datagram struct {
	// From and To are of the same address family.
	From, To netip.AddrPort
	Data     []byte
}

// Inner returns the datagram in an inner IP packet.
func (d Datagram) Inner() []byte {
	udp := layers.UDP{SrcPort: layers.UDPPort(d.From.Port()), DstPort: layers.UDPPort(d.To.Port())}
	ip := header(d.From.Addr(), d.To.Addr(), layers.IPProtocolUDP)
	return serialize(ip, ip, &udp, gopacket.Payload(d.Data))
}

func tcpPacket(from, to netip.AddrPort, tcp *layers.TCP, data []byte) []byte {
	tcp.SrcPort = layers.TCPPort(from.Port())
	tcp.DstPort = layers.TCPPort(to.Port())
	ip := header(from.Addr(), to.Addr(), layers.IPProtocolTCP)
	return serialize(ip, ip, tcp, gopacket.Payload(data))
}

// network is an IP header that can be written.
type network interface {
	gopacket.NetworkLayer
	gopacket.SerializableLayer
}

func header(from, to netip.Addr, proto layers.IPProtocol) network {
	if from.Is4() {
		return header4(from, to, proto)
	}
	return header6(from, to, proto)
}

func header4(from, to netip.Addr, proto layers.IPProtocol) *layers.IPv4 {
	return &layers.IPv4{
		Version: 4, TTL: hopLimit, Protocol: proto, Flags: layers.IPv4DontFragment,
		SrcIP: from.AsSlice(), DstIP: to.AsSlice(),
	}
}

func header6(from, to netip.Addr, proto layers.IPProtocol) *layers.IPv6 {
	return &layers.IPv6{
		Version: 6, HopLimit: hopLimit, NextHeader: proto,
		SrcIP: from.AsSlice(), DstIP: to.AsSlice(),
	}
}

// checksummed is a transport layer whose checksum covers the IP addresses.
type checksummed interface {
	SetNetworkLayerForChecksum(gopacket.NetworkLayer) error
}

// serialize writes the layers with lengths and checksums. It returns nil when
// they don't fit one another, which the callers rule out.
func serialize(ip gopacket.NetworkLayer, parts ...gopacket.SerializableLayer) []byte {
	for _, l := range parts {
		c, ok := l.(checksummed)
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
