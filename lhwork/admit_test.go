package lhwork_test

import (
	"math"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// kindKey returns the key of a flow of a caller of one of the model's kinds.
func kindKey(kind int) lhflow.Key {
	key := testKey
	key.Caller = modelKinds()[kind].Callers.Addr().As16()
	return key
}

func kindsConfig() *lhconf.Config {
	cfg := testConfig(14)
	for _, k := range modelKinds() {
		cfg.Kinds = append(cfg.Kinds, k.Kind)
	}
	return cfg
}

// TestShares admits and finishes units in random order. No kind is refused below its
// share, and the units in flight stay bounded.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &lhwork.Controller{}
		c.SetTable(0, lhplace.NewTable(kindsConfig()))
		var inFlight [3][]lhwork.Flow
		now := time.Second
		rates := rapid.SliceOfN(rapid.IntRange(0, 100), 3, 3).Draw(t, "rates")
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now += 500 * time.Microsecond
			for kind, rate := range rates {
				if rapid.IntRange(1, 100).Draw(t, "arrival") > rate {
					continue
				}
				limit := c.Snapshot(now).Services[0].WorkLimit
				share := modelKinds()[kind].Share
				d := c.Admit(now, lhwork.Unit{Key: kindKey(kind)})
				guaranteed := limit * float64(share) / 100
				assert.Assert(t, d.Admitted || float64(len(inFlight[kind])) >= guaranteed-1e-9,
					"%s refused with %d of %.1f in flight: %v", modelKinds()[kind].Name, len(inFlight[kind]), guaranteed, d.Reason)
				if !d.Admitted {
					continue
				}
				f := lhwork.Flow{Server: 1, Kind: d.Kind}
				c.Opened(now, f)
				c.Established(now, f)
				f.Phase = lhwork.PhaseWaiting
				inFlight[kind] = append(inFlight[kind], f)
				all := len(inFlight[0]) + len(inFlight[1]) + len(inFlight[2])
				bound := 1.5*limit + 3*(2*math.Sqrt(limit)+1)
				assert.Assert(t, float64(all) <= bound+1, "%d in flight under a limit of %.1f", all, limit)
			}
			kind := rapid.IntRange(0, 2).Draw(t, "served")
			if n := len(inFlight[kind]); n > 0 {
				c.Served(now, inFlight[kind][n-1], 0)
				inFlight[kind] = inFlight[kind][:n-1]
			}
		}
	})
}

// TestLentFlowsKeepReserve opens long-lived flows of the least urgent kind. The room
// that the other kinds' shares need must stay free.
func TestLentFlowsKeepReserve(t *testing.T) {
	cfg := kindsConfig()
	cfg.Kinds[1].Flows = 100
	c := &lhwork.Controller{}
	c.SetTable(0, lhplace.NewTable(cfg))
	fill := func(kind, most int) (held int, last lhwork.Reason) {
		for i := range most {
			now := time.Duration(i) * 10 * time.Millisecond
			d := c.Admit(now, lhwork.Unit{Key: kindKey(kind)})
			if !d.Admitted {
				return held, d.Reason
			}
			f := lhwork.Flow{Server: uint32(i%14 + 1), Kind: d.Kind}
			c.Opened(now, f)
			c.Established(now, f)
			f.Phase = lhwork.PhaseWaiting
			c.Served(now, f, serviceTime)
			held++
		}
		return held, lhwork.ReasonNone
	}
	room := c.Snapshot(0).Services[0].FlowLimit
	held, reason := fill(2, room)
	assert.Equal(t, held, room/5, "all but the shares of the other kinds")
	assert.Equal(t, reason, lhwork.ReasonFlows)
	held, reason = fill(1, room)
	assert.Equal(t, held, 100)
	assert.Equal(t, reason, lhwork.ReasonKindFlows)
	held, _ = fill(0, room)
	assert.Assert(t, held >= room/2)
}

// TestIdleBurst opens a burst of flows at a service that has received none before.
func TestIdleBurst(t *testing.T) {
	c := &lhwork.Controller{}
	c.SetTable(0, lhplace.NewTable(kindsConfig()))
	opened := 0
	for i := range 1000 {
		now := time.Second + time.Duration(i)*time.Microsecond
		if d := c.Admit(now, lhwork.Unit{Key: kindKey(0)}); d.Admitted {
			c.Opened(now, lhwork.Flow{Server: 1, Kind: d.Kind})
			opened++
		}
	}
	limit := c.Snapshot(time.Second).Services[0].WorkLimit
	t.Logf("%d of 1,000 flows are opened in a burst, limit %.0f", opened, limit)
	assert.Assert(t, float64(opened) >= limit && float64(opened) <= limit+2*math.Sqrt(limit)+2)
}

// TestHalfOpen opens flows that are never completed, from one prefix and from many,
// while callers of each kind complete theirs.
func TestHalfOpen(t *testing.T) {
	for _, s := range []struct {
		name     string
		prefixes int
	}{{"one prefix", 1}, {"many prefixes", 1 << 16}} {
		t.Run(s.name, func(t *testing.T) {
			cfg := kindsConfig()
			cfg.Kinds[2].Callers = netip.Prefix{}
			c := &lhwork.Controller{}
			c.SetTable(0, lhplace.NewTable(cfg))
			var offered, admitted [3]int
			var open []time.Duration
			var flows []lhwork.Flow
			for i := range 150_000 {
				now := time.Duration(i) * 20 * time.Microsecond
				for len(open) > 0 && now-open[0] >= c.HandshakeTimeout(now, testKey) {
					c.Closed(now, flows[0])
					open, flows = open[1:], flows[1:]
				}
				key, n := testKey, i%s.prefixes
				key.Caller[12], key.Caller[13], key.Caller[14] = 172, byte(n>>8), byte(n)
				if d := c.Admit(now, lhwork.Unit{Key: key}); d.Admitted {
					f := lhwork.Flow{Server: uint32(i%14 + 1), Kind: d.Kind, Caller: key.Caller}
					c.Opened(now, f)
					c.Answered(now, f, networkDelay)
					open, flows = append(open, now), append(flows, f)
				}
				if i%501 != 0 {
					continue
				}
				kind := i / 501 % 3
				offered[kind]++
				if serveUnit(c, now, kind) {
					admitted[kind]++
				}
			}
			for kind, k := range modelKinds() {
				kept := float64(admitted[kind]) / float64(offered[kind])
				t.Logf("%s: %.3f of the units admitted during 50,000 SYNs per second", k.Name, kept)
				assert.Check(t, kept >= keptTarget, "%s: %.3f of the units admitted", k.Name, kept)
			}
		})
	}
}

// serveUnit takes a unit of a kind through to its answer and reports whether it was
// admitted.
func serveUnit(c *lhwork.Controller, now time.Duration, kind int) bool {
	d := c.Admit(now, lhwork.Unit{Key: kindKey(kind)})
	if !d.Admitted {
		return false
	}
	f := lhwork.Flow{Server: 1, Kind: d.Kind, Caller: kindKey(kind).Caller}
	c.Opened(now, f)
	c.Answered(now, f, networkDelay)
	c.Established(now, f)
	f.Phase = lhwork.PhaseWaiting
	c.Served(now, f, serviceTime)
	return true
}
