package lhentry

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// manyServices returns a configuration with 41 backend servers for 16 services.
func manyServices(services int) *lhconf.Config {
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

// BenchmarkTables gives the memory and the time of the tables that an entry process
// builds from a configuration, beside the configuration itself.
func BenchmarkTables(b *testing.B) {
	for _, services := range []int{2, 1600, 16000} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			cfg := manyServices(services)
			var kept []any
			before := heap()
			for b.Loop() {
				table := lhplace.NewTable(cfg)
				work := &lhwork.Controller{}
				work.SetTable(0, table)
				kept = []any{table, work}
			}
			b.ReportMetric(float64(heap()-before)/(1<<20), "MB")
			runtime.KeepAlive(kept)
			runtime.KeepAlive(cfg)
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
