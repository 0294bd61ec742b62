package lhwire

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

var tagKey = NewTagKey(lhflow.Seed{K0: 1, K1: 2})

// TestTag checks that verification fails for another flow and another group's key,
// and that a relay option with any byte changed is rejected.
func TestTag(t *testing.T) {
	id := lhflow.ID{Hi: 3, Lo: 4}
	inner := syn(caller4, service4)
	buf := tagKey.AppendGeneve(nil, inner, id, 7, lhflow.Relay{Kind: lhflow.RelayRequest, Server: 5})
	assert.Equal(t, len(buf), len(inner)+RelayOverhead)
	cases := []struct {
		name  string
		key   TagKey
		id    lhflow.ID
		fault Fault
	}{
		{"same", tagKey, id, FaultNone},
		{"other flow", tagKey, lhflow.ID{Hi: 3, Lo: 5}, FaultTag},
		{"other group", NewTagKey(lhflow.Seed{K0: 2, K1: 1}), id, FaultTag},
		{"no key", TagKey{}, id, FaultNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, c.key.Verify(decode(t, buf), c.id), c.fault)
		})
	}
	assert.Equal(t, tagKey.Verify(decode(t, geneve(inner)), id), FaultNone)
	for i := geneveHeaderSize + optionHeaderSize; i < RelayOverhead; i++ {
		changed := append([]byte(nil), buf...)
		changed[i] ^= 0x40
		if p, fault := new(Decoder).Decode(changed); fault == FaultNone {
			assert.Equal(t, tagKey.Verify(p, id), FaultTag, "byte %d", i)
		}
	}
}

// BenchmarkTag measures the cost of tagging a relayed packet and of verifying it.
func BenchmarkTag(b *testing.B) {
	inner := Datagram{From: caller4, To: service4, Data: make([]byte, 1300)}.Inner()
	id := lhflow.ID{Hi: 3, Lo: 4}
	relay := lhflow.Relay{Kind: lhflow.RelayRequest}
	cases := []struct {
		name string
		key  TagKey
	}{{"off", TagKey{}}, {"on", tagKey}}
	for _, c := range cases {
		b.Run("append/"+c.name, func(b *testing.B) {
			b.ReportAllocs()
			buf := make([]byte, 0, 2000)
			for b.Loop() {
				buf = c.key.AppendGeneve(buf[:0], inner, id, 1, relay)
			}
		})
		b.Run("verify/"+c.name, func(b *testing.B) {
			b.ReportAllocs()
			p, _ := new(Decoder).Decode(c.key.AppendGeneve(nil, inner, id, 1, relay))
			for b.Loop() {
				c.key.Verify(p, id)
			}
		})
	}
}
