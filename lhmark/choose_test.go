package lhmark

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// TestLocalDataCentrePreferred checks that flows stay in the VM's data centre until
// its servers are much busier than others.
func TestLocalDataCentrePreferred(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "a"), server(3, "b"))
	for port := uint16(1); port <= 4; port++ {
		assert.Assert(t, v.handle(packet(port, lhflow.SYN)).Server != 3)
	}
	remote := 0
	for port := uint16(5); port <= 60; port++ {
		if v.handle(packet(port, lhflow.SYN)).Server == 3 {
			remote++
		}
	}
	assert.Assert(t, remote > 0, "no flow spilled over although the local servers are busy")
	assert.Assert(t, remote < 28, "%d of 56 flows went to the other data centre", remote)
}

// TestUnresponsiveServerAvoided checks that a server which leaves a SYN unanswered gets no
// flows for a while, then one at a time, and its full share again once it answers.
func TestUnresponsiveServerAvoided(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "a"))
	stats := v.statsByNumber(1)
	stats.recordSYN(v.now)
	stats.recordUnanswered(v.now)
	for port := uint16(1); port <= 20; port++ {
		assert.Equal(t, v.open(port), uint32(2))
	}
	v.now += initialAvoidance
	probes := 0
	for port := uint16(100); port < 120; port++ {
		if v.handle(packet(port, lhflow.SYN)).Server == 1 {
			probes++
		}
	}
	assert.Equal(t, probes, 1)
	stats.recordAnswered(v.now)
	again := 0
	for port := uint16(200); port < 220; port++ {
		if v.open(port) == 1 {
			again++
		}
	}
	assert.Assert(t, again > 5)
}

// TestAllServersUnresponsive checks that flows are still sent to some server if
// each has left a SYN unanswered, because the fault may be on this VM's side.
func TestAllServersUnresponsive(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "b"))
	v.statsByNumber(1).recordUnanswered(v.now)
	v.statsByNumber(2).recordUnanswered(v.now + time.Millisecond)
	d := v.handle(packet(1, lhflow.SYN))
	assert.Equal(t, d.Action, lhflow.ToServer)
	assert.Equal(t, d.Server, uint32(1), "the server that failed first has had the longest time to recover")
}

// TestFlowDistribution compares the distribution of open flows with that of a
// random choice, over VMs that share no state.
func TestFlowDistribution(t *testing.T) {
	const vms, servers, flows = 3, 5, 300
	var all []Server
	for n := uint32(1); n <= servers; n++ {
		all = append(all, server(n, "a"))
	}
	var fleet []*vm
	for range vms {
		fleet = append(fleet, newVM(t, all...))
	}
	chosen, random := make(map[uint32]int), make(map[uint32]int)
	for port := uint16(1); port <= flows; port++ {
		chosen[fleet[port%vms].open(port)]++
		random[uint32(lhflow.Rank(packet(port, 0).ID, 1)%servers)]++
	}
	assert.Equal(t, len(chosen), servers)
	assert.Assert(t, maxCount(chosen) <= maxCount(random), "%v against %v", chosen, random)
	assert.Assert(t, float64(maxCount(chosen)) <= 1.1*flows/servers, "%v", chosen)
}

func maxCount(counts map[uint32]int) int {
	high := 0
	for _, n := range counts {
		high = max(high, n)
	}
	return high
}

// TestRouteWeights checks that a route divides its flows by weight, in the same way
// at all VMs.
func TestRouteWeights(t *testing.T) {
	r := Route{TrafficSplit: []ServiceWeight{{"x", 90}, {"y", 10}, {"z", 0}}}
	counts := make(map[string]int)
	for port := uint16(1); port <= 10000; port++ {
		counts[r.pickService(packet(port, 0).ID)]++
	}
	assert.Assert(t, counts["x"] > 8800 && counts["x"] < 9200, "%v", counts)
	assert.Equal(t, counts["z"], 0)
	none := Route{TrafficSplit: []ServiceWeight{{"x", 0}}}
	assert.Equal(t, none.pickService(packet(1, 0).ID), "x")
}

// TestServersWithoutSlots checks that servers that declare no slots get flows.
func TestServersWithoutSlots(t *testing.T) {
	first, second := server(1, "a"), server(2, "b")
	first.Slots, second.Slots = 0, 0
	v := newVM(t, first, second)
	assert.Assert(t, v.open(1) != 0)
}
