package lhwork_test

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// benchController returns a Controller with services of 14 servers and three kinds
// each, and a flow key for each service.
func benchController(services int) (*lhwork.Controller, []lhflow.Key) {
	cfg := &lhconf.Config{}
	var keys []lhflow.Key
	for i := range services {
		one := kindsConfig()
		name := fmt.Sprint("service", i)
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 443)
		cfg.Services = append(cfg.Services, lhconf.Service{Name: name, Address: address, Proto: lhflow.TCP})
		for _, s := range one.Servers {
			s.Service, s.Number, s.Flows = name, uint32(len(cfg.Servers)+1), 1_000_000
			cfg.Servers = append(cfg.Servers, s)
		}
		for _, k := range one.Kinds {
			k.Service = name
			cfg.Kinds = append(cfg.Kinds, k)
		}
		key := kindKey(0)
		key.Service = address.Addr().As16()
		keys = append(keys, key)
	}
	c := &lhwork.Controller{}
	c.SetTable(0, lhplace.NewTable(cfg))
	return c, keys
}

func id(n uint64) lhflow.ID { return lhflow.ID{Hi: n * 0x9e3779b97f4a7c15, Lo: n} }

func BenchmarkAdmit(b *testing.B) {
	c, keys := benchController(1)
	now := time.Duration(0)
	b.ReportAllocs()
	for b.Loop() {
		now += 100 * time.Microsecond
		c.Admit(now, lhwork.Unit{Key: keys[0]})
	}
}

func BenchmarkAdmitIdempotencyKey(b *testing.B) {
	c, keys := benchController(1)
	n := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		n++
		c.Admit(time.Duration(n)*time.Millisecond, lhwork.Unit{Key: keys[0], IdempotencyKey: testIdempotencyKey(n)})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, held := range []int{5_000, 500_000} {
		b.Run(fmt.Sprint("held=", held), func(b *testing.B) {
			c, keys := benchController(1)
			for i := range held {
				number, _ := c.Choose(0, id(uint64(i)), keys[0], nil)
				c.Adopted(lhwork.Flow{Server: number})
			}
			n := uint64(0)
			now := time.Duration(0)
			b.ReportAllocs()
			for b.Loop() {
				n++
				now += 100 * time.Microsecond
				c.Choose(now, id(n), keys[0], nil)
			}
		})
	}
}

// BenchmarkFlow takes flows from admission to their end.
func BenchmarkFlow(b *testing.B) {
	for _, services := range []int{1, 64} {
		for _, goroutines := range []int{1, 8} {
			b.Run(fmt.Sprintf("services=%d/goroutines=%d", services, goroutines), func(b *testing.B) {
				c, keys := benchController(services)
				var left atomic.Int64
				left.Store(int64(b.N))
				var all sync.WaitGroup
				b.ReportAllocs()
				b.ResetTimer()
				for g := range goroutines {
					all.Go(func() {
						for n := uint64(g) << 40; left.Add(-1) >= 0; n++ {
							runFlow(c, time.Duration(n&(1<<40-1))*10*time.Microsecond, id(n), keys[id(n).Hi>>40%uint64(services)])
						}
					})
				}
				all.Wait()
			})
		}
	}
}

func runFlow(c *lhwork.Controller, now time.Duration, id lhflow.ID, key lhflow.Key) {
	key.Caller[13], key.Caller[14] = byte(id.Hi>>8), byte(id.Hi)
	d := c.Admit(now, lhwork.Unit{Key: key})
	if !d.Admitted {
		return
	}
	number, _ := c.Choose(now, id, key, nil)
	f := lhwork.Flow{Server: number, Kind: d.Kind, Caller: key.Caller}
	c.Opened(now, f)
	c.Answered(now, f, networkDelay)
	c.Established(now, f)
	f.Phase = lhwork.PhaseWaiting
	c.Served(now, f, serviceTime)
	f.Phase = lhwork.PhaseServed
	c.Closed(now, f)
}
