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

// TestServersOfOtherRevisions distinguishes removed servers from servers that the VM does
// not know yet because it is joining or has not received the latest revision.
func TestServersOfOtherRevisions(t *testing.T) {
	config := &lhconf.Config{
		Revision: 1,
		Services: []lhconf.Service{{Name: "cutdesk", Address: benchService, Proto: lhflow.TCP}},
		Servers:  []lhconf.BackendServer{{Number: 2, Name: "s2", Service: "cutdesk"}},
	}
	later := *config
	later.NextNumber = 5
	cases := []struct {
		name   string
		config *lhconf.Config
		server uint32
		want   bool
	}{
		{"before any configuration", nil, 2, true},
		{"declared", config, 2, true},
		{"removed", config, 1, false},
		{"declared later", config, 3, true},
		{"removed, with the last assigned number", &later, 4, false},
		{"declared later, with the next number", &later, 5, true},
	}
	key := lhflow.NewKey(lhflow.TCP, netip.MustParseAddrPort("192.0.2.1:1024"), benchService)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := &Entry{}
			e.table.Store(lhplace.NewTable(c.config))
			assert.Equal(t, placer{e}.Serves(c.server, key), c.want)
			assert.Equal(t, placer{e}.Declared(c.server), c.want)
		})
	}
}

// TestPacketToLaterServerIsDropped checks that a packet to a server of a later revision
// is dropped, so that the caller retransmits it, and not reset.
func TestPacketToLaterServerIsDropped(t *testing.T) {
	f := newForwardBench(t, 64, 1)
	worker := newForwarder(f.entry, f.entry.socket.Handles()[0])
	f.entry.table.Store(lhplace.NewTable(nil))
	worker.handlePacket(f.meter.Packets[0], f.meter.Senders[0].Address(), f.entry.now())
	assert.Equal(t, worker.counts[CountServerAhead].Load(), uint64(1))
	assert.Equal(t, worker.counts[CountReset].Load(), uint64(0))
}

// TestTooBig checks that packets which do not fit between two VMs are answered with the
// maximum size.
func TestTooBig(t *testing.T) {
	f := newForwardBench(t, 64, 1)
	worker := newForwarder(f.entry, f.entry.socket.Handles()[0])
	limit := f.entry.settings.MTU - outerIPv4Size - lhwire.RelayOverhead - 28
	for excess, count := range []uint64{0, 1} {
		data := lhwire.Datagram{From: f.meter.Senders[0].Address(), To: benchService, Data: make([]byte, limit+excess)}.Inner()
		worker.handlePacket(lhwire.TagKey{}.AppendGeneve(nil, data, lhflow.ID{}, 0, lhflow.Relay{}), f.meter.Senders[0].Address(), f.entry.now())
		assert.Equal(t, worker.counts[CountTooBig].Load(), count)
	}
}
