package lhwire

import (
	"testing"

	"github.com/gopacket/gopacket"
	"github.com/gopacket/gopacket/layers"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

func drawRelay(t *rapid.T) lhflow.Relay {
	return lhflow.Relay{
		Kind:    lhflow.RelayKind(rapid.Uint8Range(0, uint8(lhflow.RelayLookup)).Draw(t, "kind")),
		Hops:    rapid.Uint8().Draw(t, "hops"),
		Attempt: rapid.Uint8().Draw(t, "attempt"),
		State:   lhflow.State(rapid.Uint8Range(0, uint8(lhflow.Closed)).Draw(t, "state")),
		Origin:  lhflow.MemberID(rapid.Uint64().Draw(t, "origin")),
		Stamp:   rapid.Uint32().Draw(t, "stamp"),
		Server:  rapid.Uint32().Draw(t, "server"),
		ISN:     rapid.Uint32().Draw(t, "isn"),
		Work:    rapid.Uint16().Draw(t, "work"),
	}
}

// TestAppendGeneve compares the encoding with gopacket's and decodes it again.
func TestAppendGeneve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sender := lhflow.MemberID(rapid.Uint64Min(1).Draw(t, "sender"))
		relay := drawRelay(t)
		inner := syn(caller4, service4)
		buf := AppendGeneve(nil, inner, sender, relay)
		p, fault := new(Decoder).Decode(buf)
		assert.Equal(t, fault, FaultNone)
		assert.Equal(t, p.Sender(), sender)
		assert.Equal(t, p.Relay(), relay)
		assert.Equal(t, len(buf), len(inner)+RelayOverhead)
		assert.DeepEqual(t, buf, serializeGeneve(gopacket.NewSerializeBuffer(), buf[12:RelayOverhead], inner))
	})
}

func serializeGeneve(b gopacket.SerializeBuffer, option, inner []byte) []byte {
	header := layers.Geneve{
		Protocol: layers.EthernetTypeIPv4, CriticalOption: true,
		Options: []*layers.GeneveOption{{Class: relayClass, Type: relayType, Data: option}},
	}
	options := gopacket.SerializeOptions{FixLengths: true}
	if err := gopacket.SerializeLayers(b, options, &header, gopacket.Payload(inner)); err != nil {
		panic(err)
	}
	return b.Bytes()
}

func TestAppendGeneveDoesNotAllocate(t *testing.T) {
	inner := syn(caller4, service4)
	buf := make([]byte, 0, len(inner)+RelayOverhead)
	allocs := testing.AllocsPerRun(100, func() {
		buf = AppendGeneve(buf[:0], inner, 1, lhflow.Relay{Kind: lhflow.RelayRequest})
	})
	assert.Equal(t, allocs, 0.0)
}

func BenchmarkAppendGeneve(b *testing.B) {
	inner := Datagram{From: caller4, To: service4, Data: make([]byte, 1300)}.Inner()
	b.Run("direct", func(b *testing.B) {
		b.ReportAllocs()
		buf := make([]byte, 0, 2000)
		for b.Loop() {
			buf = AppendGeneve(buf[:0], inner, 1, lhflow.Relay{Kind: lhflow.RelayRequest})
		}
	})
	b.Run("gopacket", func(b *testing.B) {
		b.ReportAllocs()
		buf := gopacket.NewSerializeBuffer()
		option := make([]byte, relaySize)
		for b.Loop() {
			serializeGeneve(buf, option, inner)
		}
	})
}

func TestDecrementTTL4(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ip := ip4Header(caller4.Addr(), service4.Addr(), layers.IPProtocolTCP)
		ip.TTL = rapid.Uint8Range(1, 255).Draw(t, "ttl")
		ip.Id = rapid.Uint16().Draw(t, "id")
		ip.TOS = rapid.Uint8().Draw(t, "tos")
		tcp := layers.TCP{}
		inner := serialize(ip, ip, &tcp)
		p, fault := new(Decoder).DecodeInner(inner)
		assert.Equal(t, fault, FaultNone)
		if ip.TTL == 1 {
			assert.Equal(t, p.DecrementHopLimit(), FaultHopLimit)
			assert.Equal(t, inner[ip4TTLOffset], uint8(1))
			return
		}
		assert.Equal(t, p.DecrementHopLimit(), FaultNone)
		ip.TTL--
		assert.DeepEqual(t, inner, serialize(ip, ip, &tcp))
	})
}

func TestDecrementHopLimit6(t *testing.T) {
	p := decode(t, geneve(syn(caller6, service6)))
	for left := defaultHopLimit; left > 1; left-- {
		assert.Equal(t, p.DecrementHopLimit(), FaultNone)
	}
	assert.Equal(t, p.DecrementHopLimit(), FaultHopLimit)
}
