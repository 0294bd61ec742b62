package lhentry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// TestForgedSource sends relayed packets from a member's address, with valid and invalid
// tags. An attacker can forge the source address, so only the tag, which requires the
// group's secret, authenticates a relayed packet.
func TestForgedSource(t *testing.T) {
	f := newForwardBench(t, 64, 1)
	view := f.entry.engine.View()
	self, _ := view.Member(view.Self)
	packet := lhwire.Segment{From: f.meter.Senders[0].Address(), To: benchService, Flags: lhflow.ACK}.Inner()
	p, fault := new(lhwire.Decoder).DecodeInner(packet)
	assert.Equal(t, fault, lhwire.FaultNone)
	id := f.entry.settings.Seed.ID(p.Key(lhflow.FromCaller))
	relay := lhflow.Relay{Kind: lhflow.RelayRequest}
	cases := []struct {
		name      string
		key       lhwire.TagKey
		id        lhflow.ID
		tagFaults uint64
	}{
		{"member", f.entry.tagKey, id, 0},
		{"no tag", lhwire.TagKey{}, id, 1},
		{"other secret", lhwire.NewTagKey(lhflow.Seed{K0: 9}), id, 1},
		{"tag of another flow", f.entry.tagKey, lhflow.ID{Hi: 1}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			worker := newForwarder(f.entry, f.entry.socket.Handles()[0])
			buf := c.key.AppendGeneve(nil, packet, c.id, self.ID, relay)
			worker.handlePacket(buf, self.Data, f.entry.now())
			assert.Equal(t, worker.faults[lhwire.FaultTag].Load(), c.tagFaults)
			assert.Equal(t, worker.counts[CountFromPeer].Load(), uint64(1))
		})
	}
}
