package lhwire

import (
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// verifyChecksums fails the test if a checksum of an inner packet is wrong.
func verifyChecksums(t *testing.T, inner []byte) {
	t.Helper()
	first := layers.LayerTypeIPv4
	if inner[0]>>4 == 6 {
		first = layers.LayerTypeIPv6
	}
	packet := gopacket.NewPacket(inner, first, gopacket.Default)
	if l, ok := packet.Layers()[1].(checksumLayer); ok {
		assert.NilError(t, l.SetNetworkLayerForChecksum(packet.NetworkLayer()))
	}
	err, wrong := packet.VerifyChecksums()
	assert.NilError(t, err)
	assert.Equal(t, len(wrong), 0)
}

func TestResetToCaller(t *testing.T) {
	cases := []struct {
		name     string
		packet   Segment
		flags    lhflow.Flags
		seq, ack uint32
	}{
		{"syn", Segment{Flags: lhflow.SYN, Seq: 9}, lhflow.RST | lhflow.ACK, 0, 10},
		{"syn with data", Segment{Flags: lhflow.SYN, Seq: 9, Data: []byte("abc")}, lhflow.RST | lhflow.ACK, 0, 13},
		{"syn with sequence number wrap", Segment{Flags: lhflow.SYN, Seq: 1<<32 - 1}, lhflow.RST | lhflow.ACK, 0, 0},
		{"data", Segment{Flags: lhflow.ACK, Seq: 9, Ack: 77, Data: []byte("abc")}, lhflow.RST, 77, 0},
		{"fin", Segment{Flags: lhflow.ACK | lhflow.FIN, Seq: 9, Ack: 77}, lhflow.RST, 77, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			c.packet.From, c.packet.To = caller6, service6
			inner := ResetToCaller(decode(t, geneve(c.packet.Inner())))
			verifyChecksums(t, inner)
			p := decode(t, geneve(inner))
			assert.Equal(t, p.Source(), service6)
			assert.Equal(t, p.Destination(), caller6)
			assert.Equal(t, p.Flags(), c.flags)
			assert.Equal(t, p.Seq(), c.seq)
			assert.Equal(t, p.Ack(), c.ack)
		})
	}
}

func TestResetToCallerUnanswerable(t *testing.T) {
	cases := []struct {
		name  string
		inner []byte
	}{
		{"reset", Segment{From: caller4, To: service4, Flags: lhflow.RST}.Inner()},
		{"datagram", Datagram{From: caller4, To: service4}.Inner()},
		{"icmp error", ICMPPacketTooBig(decode(t, geneve(syn(caller4, service4))), 1400)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, ResetToCaller(decode(t, geneve(c.inner))) == nil)
		})
	}
}

func TestResetToServer(t *testing.T) {
	inner := ResetToServer(lhflow.NewKey(lhflow.TCP, caller4, service4), 1001)
	verifyChecksums(t, inner)
	p := decode(t, geneve(inner))
	assert.Equal(t, p.Source(), caller4)
	assert.Equal(t, p.Destination(), service4)
	assert.Equal(t, p.Flags(), lhflow.RST)
	assert.Equal(t, p.Seq(), uint32(1001))
}

func TestICMPErrors(t *testing.T) {
	request4 := decode(t, geneve(Datagram{From: caller4, To: service4, Data: make([]byte, 1400)}.Inner()))
	request6 := decode(t, geneve(Datagram{From: caller6, To: service6, Data: make([]byte, 1400)}.Inner()))
	cases := []struct {
		name  string
		inner []byte
		// icmpHeader is the ICMP type, the code and the four bytes after the checksum.
		icmpHeader [6]byte
		offset     int
		size       int
	}{
		{"prohibited 4", ICMPAdminProhibited(request4), [6]byte{3, 13, 0, 0, 0, 0}, 20, maxICMP4Size},
		{"prohibited 6", ICMPAdminProhibited(request6), [6]byte{1, 1, 0, 0, 0, 0}, 40, maxICMP6Size},
		{"too big 4", ICMPPacketTooBig(request4, 1280), [6]byte{3, 4, 0, 0, 5, 0}, 20, maxICMP4Size},
		{"too big 6", ICMPPacketTooBig(request6, 1280), [6]byte{2, 0, 0, 0, 5, 0}, 40, maxICMP6Size},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			verifyChecksums(t, c.inner)
			assert.Equal(t, len(c.inner), c.size)
			var got [6]byte
			copy(got[:2], c.inner[c.offset:])
			copy(got[2:], c.inner[c.offset+4:])
			assert.Equal(t, got, c.icmpHeader)
		})
	}
}

func TestStripSYNData(t *testing.T) {
	tcp := layers.TCP{SYN: true, Seq: 5, Window: 100, Options: []layers.TCPOption{
		{OptionType: layers.TCPOptionKindMSS, OptionData: []byte{5, 180}},
		{OptionType: layers.TCPOptionKindNop},
		{OptionType: layers.TCPOptionKindWindowScale, OptionData: []byte{7}},
	}}
	cases := []struct {
		name          string
		with, without []byte
	}{
		{"ip4", tcpPacket(caller4, service4, &tcp, []byte("early")), tcpPacket(caller4, service4, &tcp, nil)},
		{"ip6", tcpPacket(caller6, service6, &tcp, []byte("early")), tcpPacket(caller6, service6, &tcp, nil)},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.DeepEqual(t, StripSYNData(decode(t, geneve(c.with))), c.without)
			assert.DeepEqual(t, StripSYNData(decode(t, geneve(c.without))), c.without)
		})
	}
}
