package lhdemo

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// testTimeout limits how long a test waits for a fleet; it is no performance target.
const testTimeout = time.Minute

func startFleet(t *testing.T, l Layout) (context.Context, *Fleet) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	var f Fleet
	t.Cleanup(func() { assert.NilError(t, f.Close()) })
	assert.NilError(t, f.Start(ctx, l))
	return ctx, &f
}

func TestLayoutLimits(t *testing.T) {
	cases := []Layout{
		{},
		{DataCentres: 1, VMs: maxVMs + 1, Services: 1, Servers: 1},
		{DataCentres: 1, VMs: 1, Services: 1},
	}
	for _, l := range cases {
		var f Fleet
		assert.Equal(t, lhcode.Of(f.Start(t.Context(), l)), lhcode.Usage)
		assert.NilError(t, f.Close())
	}
}

func TestUnknownServerAndVM(t *testing.T) {
	ctx, f := startFleet(t, Layout{DataCentres: 1, VMs: 1, Services: 1, Servers: 2})
	assert.Equal(t, lhcode.Of(f.Drain(ctx, "service1-9")), lhcode.NotFound)
	assert.Equal(t, lhcode.Of(f.Stop(ctx, "vm9")), lhcode.NotFound)
}

// TestDrainAndRestore checks that all new flows go to the other server during a
// drain, and that a restore is accepted as a further revision.
func TestDrainAndRestore(t *testing.T) {
	ctx, f := startFleet(t, Layout{DataCentres: 1, VMs: 2, Services: 1, Servers: 2})
	assert.NilError(t, f.Drain(ctx, "service1-1"))
	const flows = 20
	for range flows {
		idle, err := openIdle(ctx, f, 0, "drained")
		assert.NilError(t, err)
		assert.Equal(t, idle.reply.Server, "service1-2")
		assert.NilError(t, idle.finish())
	}
	assert.NilError(t, f.Restore(ctx, "service1-1"))
	assert.Equal(t, f.vms[0].Dump().Revision, uint64(3))
}

// TestBrokenFlowsAreCounted restarts the backend server, which then has no state of
// its flows, and checks that they count as broken.
func TestBrokenFlowsAreCounted(t *testing.T) {
	ctx, f := startFleet(t, Layout{DataCentres: 1, VMs: 2, Services: 1, Servers: 1})
	idle, err := openIdle(ctx, f, 0, "idle")
	assert.NilError(t, err)
	feed, err := openFeed(ctx, f, 0, "feed", time.Millisecond)
	assert.NilError(t, err)
	f.Servers()[0].Restart()
	short, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	var counts FlowCounts
	counts.add(idle.finish())
	counts.add(feed.finish(short))
	assert.Equal(t, counts.Broken, 2)
	assert.Assert(t, (&DemoResult{Flows: []FlowCounts{{Opened: 1}}}).checkFlows() != nil)
}
