package lhwire

import (
	"encoding/binary"
	"flag"
	"net/netip"
	"os"
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	caller4  = netip.MustParseAddrPort("192.0.2.7:40000")
	service4 = netip.MustParseAddrPort("198.51.100.1:443")
	caller6  = netip.MustParseAddrPort("[2001:db8::7]:40000")
	service6 = netip.MustParseAddrPort("[2001:db8:1::1]:443")
)

func syn(from, to netip.AddrPort, data ...byte) []byte {
	return Segment{From: from, To: to, Flags: lhflow.SYN, Seq: 1000, Window: 500, Data: data}.Inner()
}

func geneve(inner []byte) []byte { return AppendGeneve(nil, inner, 0, lhflow.Relay{}) }

func decode(t *testing.T, buf []byte) *Packet {
	t.Helper()
	p, fault := new(Decoder).Decode(buf)
	assert.Equal(t, fault, FaultNone)
	return p
}

func TestDecode(t *testing.T) {
	cases := []struct {
		name     string
		inner    []byte
		from, to netip.AddrPort
		proto    lhflow.Proto
		flags    lhflow.Flags
		seq, ack uint32
		data     string
	}{
		{"syn4", syn(caller4, service4), caller4, service4, lhflow.TCP, lhflow.SYN, 1000, 0, ""},
		{"syn6", syn(caller6, service6, 'x'), caller6, service6, lhflow.TCP, lhflow.SYN, 1000, 0, "x"},
		{
			"response", Segment{From: service4, To: caller4, Flags: lhflow.ACK | lhflow.FIN, Seq: 7, Ack: 8, Data: []byte("abc")}.Inner(),
			service4, caller4, lhflow.TCP, lhflow.ACK | lhflow.FIN, 7, 8, "abc",
		},
		{"udp4", Datagram{From: caller4, To: service4, Data: []byte("q")}.Inner(), caller4, service4, lhflow.UDP, 0, 0, 0, "q"},
		{"udp6", Datagram{From: caller6, To: service6}.Inner(), caller6, service6, lhflow.UDP, 0, 0, 0, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := decode(t, geneve(c.inner))
			assert.DeepEqual(t, p.Inner(), c.inner)
			assert.Equal(t, p.Source(), c.from)
			assert.Equal(t, p.Destination(), c.to)
			assert.Equal(t, p.Proto(), c.proto)
			assert.Equal(t, p.Flags(), c.flags)
			assert.Equal(t, p.Seq(), c.seq)
			assert.Equal(t, p.Ack(), c.ack)
			assert.Equal(t, string(p.Payload()), c.data)
			assert.Equal(t, p.Sender(), lhflow.MemberID(0))
			assert.Equal(t, p.Key(lhflow.FromCaller), lhflow.NewKey(c.proto, c.from, c.to))
			assert.Equal(t, p.Key(lhflow.FromServer), lhflow.NewKey(c.proto, c.to, c.from))
		})
	}
}

func TestDecodeFaults(t *testing.T) {
	tcp4 := geneve(syn(caller4, service4))
	tcp6 := geneve(syn(caller6, service6))
	relayed := AppendGeneve(nil, syn(caller4, service4), 1, lhflow.Relay{})
	const ip, transport4, transport6 = geneveHeaderSize, geneveHeaderSize + 20, geneveHeaderSize + 40
	set := func(buf []byte, at int, values ...byte) []byte {
		b := append([]byte(nil), buf...)
		copy(b[at:], values)
		return b
	}
	// set4 also updates the checksum of the IPv4 header.
	set4 := func(at int, values ...byte) []byte {
		b := set(tcp4, ip+at, values...)
		copy(b[ip+ip4ChecksumOffset:], []byte{0, 0})
		sum := gopacket.FoldChecksum(gopacket.ComputeChecksum(b[ip:transport4], 0))
		binary.BigEndian.PutUint16(b[ip+ip4ChecksumOffset:], sum)
		return b
	}
	mapped := netip.AddrPortFrom(netip.AddrFrom16(caller4.Addr().As16()), 1)
	cases := []struct {
		name string
		buf  []byte
		want Fault
	}{
		{"empty", nil, FaultTruncated},
		{"geneve header truncated", tcp4[:7], FaultTruncated},
		{"no inner packet", tcp4[:8], FaultTruncated},
		{"options beyond end", set(tcp4[:20], 0, 0x3f), FaultTruncated},
		{"geneve version", set(tcp4, 0, 0x40), FaultVersion},
		{"ip version", set(tcp4, ip, 0x55), FaultForeign},
		{"ethernet", set(tcp4, 2, 0x65, 0x58), FaultForeign},
		{"protocol of other address family", set(tcp4, 2, 0x86, 0xdd), FaultForeign},
		{"oam", set(tcp4, 1, oamFlag), FaultForeign},
		{"other network", set(tcp4, 6, 1), FaultForeign},
		{"option length", set(relayed, 11, relaySize/optionUnit-1), FaultOption},
		{"option beyond options", set(relayed, 11, 0x1f), FaultOption},
		{"unknown critical option", set(relayed, 10, 0x82), FaultOption},
		{"relay without sender", set(relayed, 12, 0, 0, 0, 0, 0, 0, 0, 0), FaultOption},
		{"unknown kind of relay", set(relayed, 42, 200), FaultOption},
		{"ip4 header truncated", tcp4[:ip+19], FaultTruncated},
		{"ip4 packet truncated", tcp4[:len(tcp4)-1], FaultLength},
		{"ip4 trailing byte", append(set(tcp4, 0), 0), FaultLength},
		{"zero length ip4", set4(ip4LengthOffset, 0, 0), FaultLength},
		{"header length ip4", set4(0, 0x44), FaultHeader},
		{"checksum ip4", set(tcp4, ip+ip4ChecksumOffset, 0x12, 0x34), FaultChecksum},
		{"ttl 0", set4(ip4TTLOffset, 0), FaultHopLimit},
		{"first fragment", set4(6, 0x20), FaultFragment},
		{"last fragment", set4(6, 0, 1), FaultFragment},
		{"multicast source", set4(12, 224), FaultAddress},
		{"unspecified source", set4(12, 0, 0, 0, 0), FaultAddress},
		{"source is destination", set4(12, 198, 51, 100, 1), FaultAddress},
		{"gre", set4(9, 47), FaultProtocol},
		{"tcp header truncated", geneve(truncatedTCP(19)), FaultTruncated},
		{"tcp data offset too small", set(tcp4, transport4+12, 0x40), FaultHeader},
		{"tcp data offset too large", set(tcp4, transport4+12, 0xf0), FaultTruncated},
		{"ip6 header truncated", tcp6[:ip+39], FaultTruncated},
		{"ip6 packet truncated", tcp6[:len(tcp6)-1], FaultLength},
		{"hop limit 0", set(tcp6, ip+ip6HopLimitOffset, 0), FaultHopLimit},
		{"hop by hop", set(tcp6, ip+6, 0), FaultProtocol},
		{"fragment ip6", set(tcp6, ip+6, 44), FaultFragment},
		{"routing header", set(tcp6, ip+6, 43), FaultProtocol},
		{"mapped address", geneve(syn(mapped, service6)), FaultAddress},
		{"tcp6 data offset 0", set(tcp6, transport6+12, 0), FaultHeader},
		{"udp length", set(geneve(Datagram{From: caller6, To: service6}.Inner()), transport6+4, 0, 9), FaultLength},
		{"udp zero length", set(geneve(Datagram{From: caller6, To: service6}.Inner()), transport6+4, 0, 0), FaultLength},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, fault := new(Decoder).Decode(c.buf)
			assert.Equal(t, fault.String(), c.want.String())
			assert.Assert(t, p == nil)
		})
	}
}

// truncatedTCP returns an IPv4 packet whose payload is a TCP header cut to size bytes.
func truncatedTCP(size int) []byte {
	ip := ip4Header(caller4.Addr(), service4.Addr(), layers.IPProtocolTCP)
	return serialize(ip, ip, gopacket.Payload(make([]byte, size)))
}

func TestDecodeSkipsUnknownOptions(t *testing.T) {
	inner := syn(caller4, service4)
	buf := appendHeader(nil, inner, 8, 0)
	buf = append(buf, 0x01, 0x02, 0x03, 1, 9, 9, 9, 9)
	p := decode(t, append(buf, inner...))
	assert.Equal(t, p.Sender(), lhflow.MemberID(0))
	assert.DeepEqual(t, p.Inner(), inner)
}

func TestDecoderReuse(t *testing.T) {
	var d Decoder
	_, fault := d.Decode(AppendGeneve(nil, syn(caller4, service4, 'x'), 9, lhflow.Relay{Kind: lhflow.RelayRequest}))
	assert.Equal(t, fault, FaultNone)
	p, fault := d.Decode(geneve(Datagram{From: caller6, To: service6}.Inner()))
	assert.Equal(t, fault, FaultNone)
	assert.Equal(t, p.Sender(), lhflow.MemberID(0))
	assert.Equal(t, p.Relay(), lhflow.Relay{})
	assert.Equal(t, p.Flags(), lhflow.Flags(0))
	assert.Equal(t, p.PayloadLen(), 0)
}

func TestDecodeICMPErrors(t *testing.T) {
	response4 := Segment{From: service4, To: caller4, Flags: lhflow.ACK, Data: make([]byte, 1000)}.Inner()
	response6 := Segment{From: service6, To: caller6, Flags: lhflow.ACK, Data: make([]byte, 2000)}.Inner()
	request := Datagram{From: caller4, To: service4, Data: []byte("q")}.Inner()
	cases := []struct {
		name     string
		original []byte
		source   lhflow.Source
		want     lhflow.Key
	}{
		{"tcp4 response", response4, lhflow.FromCaller, lhflow.NewKey(lhflow.TCP, caller4, service4)},
		{"tcp6 response", response6, lhflow.FromCaller, lhflow.NewKey(lhflow.TCP, caller6, service6)},
		{"udp4 request", request, lhflow.FromServer, lhflow.NewKey(lhflow.UDP, caller4, service4)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for _, reply := range [][]byte{
				ICMPPacketTooBig(decode(t, geneve(c.original)), 1200),
				ICMPAdminProhibited(decode(t, geneve(c.original))),
			} {
				p := decode(t, geneve(reply))
				assert.Assert(t, p.IsICMPError())
				assert.Equal(t, p.Key(c.source), c.want)
				assert.Equal(t, p.Flags(), lhflow.Flags(0))
				assert.Equal(t, p.PayloadLen(), 0)
				assert.Assert(t, ICMPAdminProhibited(p) == nil, "ICMP error in reply to an ICMP error")
			}
		})
	}
}

func TestDecodeDoesNotAllocate(t *testing.T) {
	for _, c := range benchmarkPackets() {
		var d Decoder
		allocs := testing.AllocsPerRun(100, func() {
			if _, fault := d.Decode(c.buf); fault != FaultNone {
				t.Fatal(fault)
			}
		})
		assert.Equal(t, allocs, 0.0, c.name)
	}
}

type benchmarkPacket struct {
	name string
	buf  []byte
}

func benchmarkPackets() []benchmarkPacket {
	data := make([]byte, 1300)
	tcp := layers.TCP{ACK: true, Options: []layers.TCPOption{
		{OptionType: layers.TCPOptionKindNop},
		{OptionType: layers.TCPOptionKindNop},
		{OptionType: layers.TCPOptionKindTimestamps, OptionData: make([]byte, 8)},
	}}
	return []benchmarkPacket{
		{"tcp4", geneve(tcpPacket(caller4, service4, &tcp, data))},
		{"tcp6", geneve(Segment{From: caller6, To: service6, Flags: lhflow.ACK, Data: data}.Inner())},
		{"udp4", geneve(Datagram{From: caller4, To: service4, Data: data}.Inner())},
		{"relay", AppendGeneve(nil, syn(caller4, service4), 9, lhflow.Relay{Kind: lhflow.RelayRequest})},
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, c := range benchmarkPackets() {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			var d Decoder
			for b.Loop() {
				if _, fault := d.Decode(c.buf); fault != FaultNone {
					b.Fatal(fault)
				}
			}
		})
	}
}

func FuzzDecode(f *testing.F) {
	for _, c := range benchmarkPackets() {
		f.Add(c.buf)
	}
	f.Add(geneve(ICMPPacketTooBig(&Packet{
		inner: syn(caller6, service6), source: caller6, destination: service6, proto: lhflow.TCP,
	}, 1280)))
	f.Fuzz(func(t *testing.T, buf []byte) {
		p, fault := new(Decoder).Decode(buf)
		if fault != FaultNone {
			assert.Assert(t, p == nil)
			return
		}
		assert.Assert(t, p.Proto() == lhflow.TCP || p.Proto() == lhflow.UDP)
		assert.Assert(t, p.Source().IsValid() && p.Destination().IsValid())
		reencoded := decode(t, AppendGeneve(nil, p.Inner(), p.Sender(), p.Relay()))
		assert.Equal(t, reencoded.Key(lhflow.FromCaller), p.Key(lhflow.FromCaller))
		assert.Equal(t, reencoded.Relay(), p.Relay())
		id := lhflow.Seed{}.ID(p.Key(lhflow.FromCaller))
		assert.Assert(t, p.Sender() == 0 || tagKey.Verify(p, id) == FaultTag)
		tagged := decode(t, tagKey.AppendGeneve(nil, p.Inner(), id, p.Sender(), p.Relay()))
		assert.Equal(t, tagKey.Verify(tagged, id), FaultNone)
		for _, reply := range [][]byte{ResetToCaller(p), ICMPAdminProhibited(p), ICMPPacketTooBig(p, 1280), StripSYNData(p)} {
			if reply != nil {
				decode(t, geneve(reply))
			}
		}
		if p.DecrementHopLimit() == FaultNone {
			decode(t, geneve(p.Inner()))
		}
	})
}

// TestDecodeMatchesGopacket compares the result with gopacket's full decoding.
func TestDecodeMatchesGopacket(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSegment(t)
		inner := s.Inner()
		p, fault := new(Decoder).Decode(geneve(inner))
		assert.Equal(t, fault, FaultNone)
		reference := gopacket.NewPacket(inner, layers.LayerTypeIPv4, gopacket.Default)
		tcp := reference.TransportLayer().(*layers.TCP)
		assert.Equal(t, p.Source().Addr().String(), reference.NetworkLayer().NetworkFlow().Src().String())
		assert.Equal(t, p.Destination().Addr().String(), reference.NetworkLayer().NetworkFlow().Dst().String())
		assert.Equal(t, p.Source().Port(), uint16(tcp.SrcPort))
		assert.Equal(t, p.Destination().Port(), uint16(tcp.DstPort))
		assert.Equal(t, p.Flags().Has(lhflow.SYN), tcp.SYN)
		assert.Equal(t, p.Flags().Has(lhflow.RST), tcp.RST)
		assert.Equal(t, p.Seq(), tcp.Seq)
		assert.Equal(t, p.PayloadLen(), len(tcp.Payload))
	})
}

func drawSegment(t *rapid.T) Segment {
	host := rapid.Uint8Range(1, 254)
	return Segment{
		From:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, host.Draw(t, "from")}), rapid.Uint16().Draw(t, "port")),
		To:    service4,
		Flags: lhflow.Flags(rapid.Byte().Draw(t, "flags")),
		Seq:   rapid.Uint32().Draw(t, "seq"),
		Ack:   rapid.Uint32().Draw(t, "ack"),
		Data:  rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "data"),
	}
}
