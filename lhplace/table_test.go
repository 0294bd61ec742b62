package lhplace_test

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

var (
	shop    = netip.MustParseAddrPort("10.0.0.1:443")
	printer = netip.MustParseAddrPort("10.0.0.1:631")
	caller  = netip.MustParseAddrPort("192.0.2.7:50000")
)

// testConfig has two services that share the host 10.1.0.1, and two servers of
// one service at the host 10.1.0.2.
func testConfig() *lhconf.Config {
	return &lhconf.Config{
		Revision: 7,
		Services: []lhconf.Service{
			{Name: "shop", Address: shop, Proto: lhflow.TCP},
			{Name: "printer", Address: printer, Proto: lhflow.TCP},
		},
		Servers: []lhconf.BackendServer{
			{Number: 3, Name: "c", Service: "shop", Address: netip.MustParseAddrPort("10.1.0.2:6082")},
			{Number: 1, Name: "a", Service: "shop", Address: netip.MustParseAddrPort("10.1.0.1:6081"), State: lhconf.Draining},
			{Number: 2, Name: "b", Service: "shop", Address: netip.MustParseAddrPort("10.1.0.2:6081"), Weight: 3, Slots: 2},
			{Number: 4, Name: "d", Service: "printer", Address: netip.MustParseAddrPort("10.1.0.1:6081")},
			{Number: 5, Name: "e", Service: "undeclared", Address: netip.MustParseAddrPort("10.1.0.9:6081")},
		},
		Kinds: []lhconf.Kind{
			{Name: "any", Service: "shop", Share: 20},
			{Name: "near", Service: "shop", Callers: netip.MustParsePrefix("192.0.2.0/24"), Urgency: 5, Share: 50},
			{Name: "any", Service: "printer"},
		},
	}
}

func TestTableService(t *testing.T) {
	table := lhplace.NewTable(testConfig())
	cases := []struct {
		name    string
		proto   lhflow.Proto
		address string
		want    string
	}{
		{"declared", lhflow.TCP, "10.0.0.1:443", "shop"},
		{"other port", lhflow.TCP, "10.0.0.1:631", "printer"},
		{"other protocol", lhflow.UDP, "10.0.0.1:443", ""},
		{"other address", lhflow.TCP, "10.0.0.2:443", ""},
		{"mapped address", lhflow.TCP, "[::ffff:10.0.0.1]:443", "shop"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s, ok := table.Service(lhflow.NewKey(c.proto, caller, netip.MustParseAddrPort(c.address)))
			assert.Equal(t, ok, c.want != "")
			if ok {
				assert.Equal(t, s.Name(), c.want)
			}
		})
	}
}

func TestTableServers(t *testing.T) {
	table := lhplace.NewTable(testConfig())
	var numbers []uint32
	for _, s := range table.Services()[1].Servers() {
		numbers = append(numbers, s.Number())
	}
	assert.DeepEqual(t, numbers, []uint32{1, 2, 3})
	_, ok := table.Server(5)
	assert.Assert(t, !ok, "a server of an undeclared service")
	b, _ := table.Server(2)
	assert.Equal(t, b.Service().Name(), "shop")
	assert.Equal(t, b.Weight(), uint32(3))
	a, _ := table.Server(1)
	assert.Equal(t, a.Weight(), uint32(1))
	assert.Assert(t, !a.Serving())
	assert.Assert(t, table.KnownHost(netip.MustParseAddr("::ffff:10.1.0.2")))
	assert.Assert(t, !table.KnownHost(netip.MustParseAddr("10.1.0.9")))
}

func TestTableServerAt(t *testing.T) {
	table := lhplace.NewTable(testConfig())
	cases := []struct {
		name    string
		service int
		address string
		want    uint32
	}{
		{"exact", 1, "10.1.0.2:6082", 3},
		{"any port of a host with one server", 1, "10.1.0.1:40000", 1},
		{"same host behind another service", 0, "10.1.0.1:40000", 4},
		{"any port of a host with two servers", 1, "10.1.0.2:40000", 0},
		{"host of another service only", 0, "10.1.0.2:6081", 0},
		{"unknown host", 1, "10.1.0.7:6081", 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, ok := table.ServerAt(netip.MustParseAddrPort(c.address), table.Services()[c.service])
			assert.Equal(t, got, c.want)
			assert.Equal(t, ok, c.want != 0)
		})
	}
}

func TestKindOf(t *testing.T) {
	table := lhplace.NewTable(testConfig())
	printer, shop := table.Services()[0], table.Services()[1]
	near := shop.KindOf(netip.MustParseAddr("192.0.2.7").As16())
	assert.Equal(t, near.Name(), "near")
	assert.Equal(t, near.Share(), 0.5)
	assert.Equal(t, shop.KindOf(netip.MustParseAddr("2001:db8::1").As16()).Name(), "any")

	fewer := testConfig()
	fewer.Kinds = fewer.Kinds[1:]
	again := lhplace.NewTable(fewer).Services()[1].KindOf(netip.MustParseAddr("192.0.2.7").As16())
	assert.Equal(t, again.Number(), near.Number(), "a kind keeps its number when another is removed")
	assert.Assert(t, printer.Kinds()[0].Number() != near.Number())
}

func TestZeroTable(t *testing.T) {
	var table lhplace.Table
	_, ok := table.Service(lhflow.NewKey(lhflow.TCP, caller, shop))
	assert.Assert(t, !ok)
	_, ok = table.ServerAt(shop, nil)
	assert.Assert(t, !ok)
	assert.Equal(t, lhplace.NewTable(nil).Revision(), uint64(0))
}

func BenchmarkTableService(b *testing.B) {
	table := lhplace.NewTable(testConfig())
	key := lhflow.NewKey(lhflow.TCP, caller, shop)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.Service(key); !ok {
			b.Fatal("no service")
		}
	}
}

func BenchmarkTableServerAt(b *testing.B) {
	table := lhplace.NewTable(testConfig())
	service := table.Services()[1]
	from := netip.MustParseAddrPort("10.1.0.1:40000")
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := table.ServerAt(from, service); !ok {
			b.Fatal("no server")
		}
	}
}
