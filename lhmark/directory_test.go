package lhmark

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// TestMissingEntryAfterOutage checks that a server whose entry is missing after an
// outage of the store keeps its flows and gets new ones while entries are being
// restored, and counts as ended after that.
func TestMissingEntryAfterOutage(t *testing.T) {
	cases := []struct {
		name string
		// outage is how long the store was unreachable.
		outage time.Duration
		// restoredAfter is when the entry is restored after the outage; 0 for never.
		restoredAfter time.Duration
		// checkedAt is when a packet of the flow is handled, and want the expected action.
		checkedAt time.Duration
		want      lhflow.Action
		// disconnected is set if the VM receives nothing more after the outage.
		disconnected bool
	}{
		{"no outage", time.Second, 0, 0, lhflow.Reset, false},
		{"outage, immediately after", 5 * time.Second, 0, 0, lhflow.ToServer, false},
		{"outage, within restore grace", 5 * time.Second, 0, 2 * time.Second, lhflow.ToServer, false},
		{"outage, entry not restored", 5 * time.Second, 0, 3 * time.Second, lhflow.Reset, false},
		{"outage, entry restored", 5 * time.Second, 1900 * time.Millisecond, 3 * time.Second, lhflow.ToServer, false},
		{"outage, then disconnected", 5 * time.Second, 0, 30 * time.Second, lhflow.ToServer, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := server(1, "a")
			v := newVM(t, s)
			assert.Equal(t, v.open(1), uint32(1))
			v.now += c.outage
			v.directory.Refresh(v.now, 0)
			v.directory.Remove(v.now, s.Name)
			v.update()
			if c.restoredAfter > 0 {
				v.now += c.restoredAfter
				v.directory.Set(s)
				v.refresh()
			}
			v.now += c.checkedAt - c.restoredAfter
			if !c.disconnected {
				v.refresh()
			}
			v.update()
			assert.Equal(t, v.request(1, 1, 0).Action, c.want)
		})
	}
}

// TestRemovedServerGetsNoFlows checks that a server whose entry is removed without
// an outage gets no new flow from then on.
func TestRemovedServerGetsNoFlows(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "a"))
	v.directory.Remove(v.now, server(1, "a").Name)
	v.refresh()
	for port := uint16(1); port < 50; port++ {
		assert.Equal(t, v.open(port), uint32(2))
	}
	v.now += endedRetention + time.Second
	v.refresh()
	_, known := v.Table().Server(1)
	assert.Assert(t, !known, "still known after endedRetention")
}

func TestOlderConfigIgnored(t *testing.T) {
	v := newVM(t)
	assert.Assert(t, v.directory.SetConfig(Config{Revision: 9}))
	assert.Assert(t, !v.directory.SetConfig(Config{Revision: 9}))
	assert.Assert(t, !v.directory.SetConfig(Config{Revision: 8}))
	v.refresh()
	assert.Equal(t, v.Table().Revision(), uint64(9))
}

// TestSetReportsChanges checks which reports of a server count as changes.
func TestSetReportsChanges(t *testing.T) {
	var d Directory
	s := server(1, "a")
	assert.Assert(t, d.Set(s))
	s.Warmup = time.Second
	assert.Assert(t, !d.Set(s), "Warmup differs with each report")
	s.StartedAt = 7
	assert.Assert(t, d.Set(s), "restarted")
	assert.Assert(t, d.Remove(0, s.Name))
	assert.Assert(t, !d.Remove(0, s.Name))
	assert.Assert(t, d.Set(s), "listed again after removal")
}

// TestTableReused checks that the same table is returned while nothing changes.
func TestTableReused(t *testing.T) {
	v := newVM(t, server(1, "a"))
	before := v.directory.Table(v.now)
	v.now += time.Second
	v.refresh()
	assert.Equal(t, v.directory.Table(v.now), before)
}

// TestStartWithStaleState checks that a VM which starts with old state from another
// VM does not take it as complete, and that it gives entries time to be restored
// once it reaches the store.
func TestStartWithStaleState(t *testing.T) {
	var d Directory
	d.Refresh(100*time.Millisecond, 10*time.Second)
	s := server(1, "a")
	d.Set(s)
	assert.Assert(t, !d.Current(100*time.Millisecond))
	now := 200 * time.Millisecond
	d.Refresh(now, 0)
	assert.Assert(t, d.Current(now))
	assert.Assert(t, d.Remove(now, s.Name))
	assert.Equal(t, d.Table(now).Ended(s.Number), false)
	now += restoreGrace
	d.Refresh(now, 0)
	assert.Equal(t, d.Table(now).Ended(s.Number), true)
}
