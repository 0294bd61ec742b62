package lhentry

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// TestServersOfOtherRevisions tells servers that were removed from those that a
// VM has not heard of yet, as it is while it joins or a change spreads.
func TestServersOfOtherRevisions(t *testing.T) {
	one := &lhconf.Config{
		Revision: 1,
		Services: []lhconf.Service{{Name: "cutdesk", Address: benchService, Proto: lhflow.TCP}},
		Servers:  []lhconf.BackendServer{{Number: 2, Name: "s2", Service: "cutdesk"}},
	}
	later := *one
	later.NextNumber = 5
	cases := []struct {
		name   string
		config *lhconf.Config
		server uint32
		holds  bool
	}{
		{"before any configuration", nil, 2, true},
		{"declared", one, 2, true},
		{"removed", one, 1, false},
		{"declared later", one, 3, true},
		{"removed, the last one given", &later, 4, false},
		{"declared later than the last one given", &later, 5, true},
	}
	key := lhflow.NewKey(lhflow.TCP, netip.MustParseAddrPort("192.0.2.1:1024"), benchService)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &Entry{}
			e.table.Store(lhplace.NewTable(c.config))
			assert.Equal(t, placer{e}.Serves(c.server, key), c.holds)
			assert.Equal(t, placer{e}.Declared(c.server), c.holds)
		})
	}
}

// TestServerAheadIsNoReset drops a packet to a server of a later revision, which
// the caller repeats, and resets none.
func TestServerAheadIsNoReset(t *testing.T) {
	f := newForwardBench(t, 64, 1)
	worker := newForwarder(f.entry, f.entry.socket.Handles()[0])
	f.entry.table.Store(lhplace.NewTable(nil))
	worker.packet(f.meter.Packets[0], f.meter.Senders[0].Address(), f.entry.now())
	assert.Equal(t, worker.counts[CountAhead].Load(), uint64(1))
	assert.Equal(t, worker.counts[CountReset].Load(), uint64(0))
}

// TestTooBig holds packets to what fits on the way between two VMs, and tells the
// sender of a larger one.
func TestTooBig(t *testing.T) {
	f := newForwardBench(t, 64, 1)
	worker := newForwarder(f.entry, f.entry.socket.Handles()[0])
	room := f.entry.settings.MTU - outerIPv4 - lhwire.RelayOverhead - 28
	for more, count := range []uint64{0, 1} {
		data := lhwire.Datagram{From: f.meter.Senders[0].Address(), To: benchService, Data: make([]byte, room+more)}.Inner()
		worker.packet(lhwire.TagKey{}.AppendGeneve(nil, data, lhflow.ID{}, 0, lhflow.Relay{}), f.meter.Senders[0].Address(), f.entry.now())
		assert.Equal(t, worker.counts[CountTooBig].Load(), count)
	}
}
