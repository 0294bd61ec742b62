package lhentry

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// TestForgedSource sends packets from a member's address, as whoever forges the
// source of a datagram does. Without the group's secret none is taken for one that
// a member has relayed.
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
		name string
		key  lhwire.TagKey
		id   lhflow.ID
		bad  uint64
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
			worker.packet(buf, self.Data, f.entry.now())
			assert.Equal(t, worker.faults[lhwire.FaultTag].Load(), c.bad)
			assert.Equal(t, worker.counts[CountFromPeer].Load(), uint64(1))
		})
	}
}
