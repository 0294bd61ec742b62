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

// TestNext changes servers one at a time and compares the tables built by Next with
// a linear search of the configuration.
func TestNext(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg, table := testConfig(), lhplace.NewTable(testConfig())
		address := func(label string) netip.AddrPort {
			host := byte(rapid.IntRange(1, 4).Draw(t, label))
			return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, host}), rapid.Uint16Range(6081, 6083).Draw(t, label))
		}
		for turn := range 8 {
			servers := slices.Clone(cfg.Servers)
			switch position := rapid.IntRange(0, len(servers)).Draw(t, "at"); {
			case position == len(servers):
				service := rapid.SampledFrom([]string{"shop", "printer"}).Draw(t, "service")
				servers = append(servers, lhconf.BackendServer{Number: uint32(10 + turn), Service: service, Address: address("new")})
			case rapid.Bool().Draw(t, "remove"):
				servers = slices.Delete(servers, position, position+1)
			case rapid.Bool().Draw(t, "move"):
				servers[position].Address = address("moved")
			default:
				servers[position].State = 1 - servers[position].State
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
		var atHost, exact []uint32
		for _, d := range cfg.Servers {
			found, ok := table.Server(d.Number)
			assert.Equal(t, ok, d.Service != "undeclared")
			assert.Assert(t, !ok || found.State() == d.State && found.Address() == d.Address)
			if d.Service != s.Name() || d.Address.Addr() != from.Addr() {
				continue
			}
			atHost = append(atHost, d.Number)
			if d.Address == from {
				exact = append(exact, d.Number)
			}
		}
		got, ok := table.ServerAt(from, s)
		assert.Equal(t, ok, len(atHost) == 1 || len(exact) > 0)
		assert.Assert(t, !ok || slices.Contains(exact, got) || len(exact) == 0 && got == atHost[0])
		assert.Assert(t, len(atHost) == 0 || table.KnownHost(from.Addr()))
	}
}
