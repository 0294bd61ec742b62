package lhentry

import (
	"fmt"
	"net/netip"
	"runtime"
	"slices"
	"strings"
	"testing"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// largeConfig returns a configuration with 41 backend servers per 16 services.
func largeConfig(services int) *lhconf.Config {
	cfg := &lhconf.Config{Revision: 1}
	for i := range services {
		name := fmt.Sprint("service-", i)
		address := netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)})
		cfg.Services = append(cfg.Services, lhconf.Service{Name: name, Address: netip.AddrPortFrom(address, 443), Proto: lhflow.TCP})
		cfg.Kinds = append(cfg.Kinds, lhconf.Kind{Name: name, Service: name, Share: 60})
	}
	for n := range services * 41 / 16 {
		address := netip.AddrFrom4([4]byte{10, byte(2 + n>>16), byte(n >> 8), byte(n)})
		cfg.Servers = append(cfg.Servers, lhconf.BackendServer{
			Number: uint32(n + 1), Name: fmt.Sprint("server-", n), Service: fmt.Sprint("service-", n%services),
			Address: netip.AddrPortFrom(address, 6081), DataCentre: "a", Weight: 1, Slots: 2, Flows: 2000,
		})
	}
	return cfg
}

// BenchmarkTables measures the memory and time of the tables that an entry process builds
// from a configuration. The memory excludes the configuration itself.
func BenchmarkTables(b *testing.B) {
	for _, services := range []int{2, 1600, 16000} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			cfg := largeConfig(services)
			var retained []any
			before := heapBytes()
			for b.Loop() {
				table := lhplace.NewTable(cfg)
				work := &lhwork.Controller{}
				work.SetTable(0, table)
				retained = []any{table, work}
			}
			b.ReportMetric(float64(heapBytes()-before)/(1<<20), "MB")
			runtime.KeepAlive(retained)
			runtime.KeepAlive(cfg)
		})
	}
}

// BenchmarkNextTable measures building the tables of a revision from those of the previous
// one: an identical revision, one that drains a server and one that removes a server.
func BenchmarkNextTable(b *testing.B) {
	cfg := largeConfig(16000)
	slices.SortFunc(cfg.Services, func(a, b lhconf.Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(cfg.Servers, func(a, b lhconf.BackendServer) int { return strings.Compare(a.Name, b.Name) })
	drained, removed := *cfg, *cfg
	drained.Servers = slices.Clone(cfg.Servers)
	drained.Servers[7].State = lhconf.Draining
	removed.Servers = slices.Delete(slices.Clone(cfg.Servers), 7, 8)
	before := lhplace.NewTable(cfg)
	for name, next := range map[string]*lhconf.Config{"same": cfg, "drained": &drained, "removed": &removed} {
		b.Run(name, func(b *testing.B) {
			work := &lhwork.Controller{}
			work.SetTable(0, before)
			for b.Loop() {
				work.SetTable(0, before.Next(next))
			}
		})
	}
}

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
