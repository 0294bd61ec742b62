package lhwork_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// TestIdlePool puts tables into force long after the last unit. A pool without flows
// is dropped with its counters; a pool with a flow is kept.
func TestIdlePool(t *testing.T) {
	var c lhwork.Controller
	table := lhplace.NewTable(testConfig(2))
	c.SetTable(0, table)
	number := serveFlow(t, time.Second, &c, id(1))
	c.SetTable(time.Hour, table)
	held := c.Snapshot(time.Hour).Services[0]
	assert.Equal(t, held.Held, 1, "a pool with a flow is kept")
	c.Closed(time.Hour, lhwork.Flow{Server: number, Phase: lhwork.PhaseServed})
	c.SetTable(2*time.Hour, table)
	assert.Equal(t, c.Snapshot(2 * time.Hour).Services[0].Held, 0)
	assert.Equal(t, c.Snapshot(2 * time.Hour).Services[0].Servers[number-1].Opened, uint64(0), "an idle pool is dropped")
	serveFlow(t, 2*time.Hour, &c, id(1))
	assert.Equal(t, c.Snapshot(2 * time.Hour).Services[0].Held, 1)
}
