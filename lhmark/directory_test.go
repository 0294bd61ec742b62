package lhmark

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// TestOutage checks what becomes of a server whose entry is missing after an outage
// of the store: it keeps flows and gets new ones for the time in which entries come
// back, and has ended after it.
func TestOutage(t *testing.T) {
	cases := []struct {
		name string
		// away is how long nothing was heard of the store.
		away time.Duration
		// back is when the entry comes back after the outage; 0 for never.
		back time.Duration
		// at is when the flow is looked at, and want what becomes of its packets.
		at   time.Duration
		want lhflow.Action
		// cut is set where the VM hears nothing more after the outage.
		cut bool
	}{
		{"no outage", time.Second, 0, 0, lhflow.Reset, false},
		{"outage, at once", 5 * time.Second, 0, 0, lhflow.ToServer, false},
		{"outage, still waiting", 5 * time.Second, 0, 2 * time.Second, lhflow.ToServer, false},
		{"outage, never back", 5 * time.Second, 0, 3 * time.Second, lhflow.Reset, false},
		{"outage, back", 5 * time.Second, 1900 * time.Millisecond, 3 * time.Second, lhflow.ToServer, false},
		{"outage, then cut off", 5 * time.Second, 0, 30 * time.Second, lhflow.ToServer, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := server(1, "a")
			v := newVM(t, s)
			assert.Equal(t, v.open(1), uint32(1))
			v.now += c.away
			v.directory.Refresh(v.now, 0)
			v.directory.Remove(v.now, s.Name)
			v.update()
			if c.back > 0 {
				v.now += c.back
				v.directory.Set(s)
				v.refresh()
			}
			v.now += c.at - c.back
			if !c.cut {
				v.refresh()
			}
			v.update()
			assert.Equal(t, v.request(1, 1, 0).Action, c.want)
		})
	}
}

// TestRemovedServerGetsNoFlows checks that a server which has left without an outage
// gets no new flow at once.
func TestRemovedServerGetsNoFlows(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "a"))
	v.directory.Remove(v.now, server(1, "a").Name)
	v.refresh()
	for port := uint16(1); port < 50; port++ {
		assert.Equal(t, v.open(port), uint32(2))
	}
	v.now += keepTime + time.Second
	v.refresh()
	_, known := v.Table().Server(1)
	assert.Assert(t, !known, "forgotten in the end")
}

func TestConfigNeverGoesBack(t *testing.T) {
	v := newVM(t)
	assert.Assert(t, v.directory.SetConfig(Config{Revision: 9}))
	assert.Assert(t, !v.directory.SetConfig(Config{Revision: 9}))
	assert.Assert(t, !v.directory.SetConfig(Config{Revision: 8}))
	v.refresh()
	assert.Equal(t, v.Table().Revision(), uint64(9))
}

// TestReports checks which reports of a server are news.
func TestReports(t *testing.T) {
	var d Directory
	s := server(1, "a")
	assert.Assert(t, d.Set(s))
	s.Warmup = time.Second
	assert.Assert(t, !d.Set(s), "the rest of the warm-up changes with each report")
	s.Born = 7
	assert.Assert(t, d.Set(s), "another run")
	assert.Assert(t, d.Remove(0, s.Name))
	assert.Assert(t, !d.Remove(0, s.Name))
	assert.Assert(t, d.Set(s), "back after it was removed")
}

// TestTableStays checks that the table stays the same while nothing changes.
func TestTableStays(t *testing.T) {
	v := newVM(t, server(1, "a"))
	before := v.directory.Table(v.now)
	v.now += time.Second
	v.refresh()
	assert.Equal(t, v.directory.Table(v.now), before)
}

// TestBeginWithOldKnowledge checks that a VM which begins with what another knew some
// time ago does not take it for all that there is, and gives entries the time to come
// back once it reaches the store.
func TestBeginWithOldKnowledge(t *testing.T) {
	var d Directory
	d.Refresh(100*time.Millisecond, 10*time.Second)
	s := server(1, "a")
	d.Set(s)
	assert.Assert(t, !d.Current(100*time.Millisecond))
	now := 200 * time.Millisecond
	d.Refresh(now, 0)
	assert.Assert(t, d.Current(now))
	assert.Assert(t, d.Remove(now, s.Name))
	assert.Equal(t, d.Table(now).Gone(s.Number), false)
	now += restoreTime
	d.Refresh(now, 0)
	assert.Equal(t, d.Table(now).Gone(s.Number), true)
}
