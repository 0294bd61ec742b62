package lhplace_test

import (
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// TestNext changes servers in turn, and holds tables that follow each other against
// a search in what is declared.
func TestNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, table := testConfig(), lhplace.NewTable(testConfig())
		address := func(label string) netip.AddrPort {
			host := byte(rapid.IntRange(1, 4).Draw(t, label))
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, host}), rapid.Uint16Range(6081, 6083).Draw(t, label))
		}
		for turn := range 8 {
			servers := slices.Clone(cfg.Servers)
			switch at := rapid.IntRange(0, len(servers)).Draw(t, "at"); {
			case at == len(servers):
				service := rapid.SampledFrom([]string{"shop", "printer"}).Draw(t, "service")
				servers = append(servers, lhconf.BackendServer{Number: uint32(10 + turn), Service: service, Address: address("new")})
			case rapid.Bool().Draw(t, "remove"):
				servers = slices.Delete(servers, at, at+1)
			case rapid.Bool().Draw(t, "move"):
				servers[at].Address = address("moved")
			default:
				servers[at].State = 1 - servers[at].State
			}
			next := *cfg
			next.Servers = servers
			cfg, table = &next, table.Next(&next)
			compare(t, cfg, table, address("from"))
		}
	})
}

func compare(t *rapid.T, cfg *lhconf.Config, table *lhplace.Table, from netip.AddrPort) {
	for _, s := range table.Services() {
		var there, exact []uint32
		for _, d := range cfg.Servers {
			found, ok := table.Server(d.Number)
			assert.Equal(t, ok, d.Service != "undeclared")
			assert.Assert(t, !ok || found.State() == d.State && found.Address() == d.Address)
			if d.Service != s.Name() || d.Address.Addr() != from.Addr() {
				continue
			}
			there = append(there, d.Number)
			if d.Address == from {
				exact = append(exact, d.Number)
			}
		}
		got, ok := table.ServerAt(from, s)
		assert.Equal(t, ok, len(there) == 1 || len(exact) > 0)
		assert.Assert(t, !ok || slices.Contains(exact, got) || len(exact) == 0 && got == there[0])
		assert.Assert(t, len(there) == 0 || table.Known(from.Addr()))
	}
}
