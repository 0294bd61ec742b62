package lhmark

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// TestOwnDataCentreFirst checks that flows stay in the VM's data centre until its
// servers are much busier than others.
func TestOwnDataCentreFirst(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "a"), server(3, "b"))
	for port := uint16(1); port <= 4; port++ {
		assert.Assert(t, v.handle(packet(port, lhflow.SYN)).Server != 3)
	}
	away := 0
	for port := uint16(5); port <= 60; port++ {
		if v.handle(packet(port, lhflow.SYN)).Server == 3 {
			away++
		}
	}
	assert.Assert(t, away > 0, "spills once the others are busy")
	assert.Assert(t, away < 28, "%d of 56 flows went away", away)
}

// TestSilentServerIsAvoided checks that a server which leaves a SYN unanswered gets no
// flows for a while, then one at a time, and all again once it answers.
func TestSilentServerIsAvoided(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "a"))
	g := v.ofNumber(1)
	g.place(v.now)
	g.silent(v.now)
	for port := uint16(1); port <= 20; port++ {
		assert.Equal(t, v.open(port), uint32(2))
	}
	v.now += avoidFirst
	trials := 0
	for port := uint16(100); port < 120; port++ {
		if v.handle(packet(port, lhflow.SYN)).Server == 1 {
			trials++
		}
	}
	assert.Equal(t, trials, 1)
	g.open()
	again := 0
	for port := uint16(200); port < 220; port++ {
		if v.open(port) == 1 {
			again++
		}
	}
	assert.Assert(t, again > 5)
}

// TestAllSilent checks that flows go on to some server when each has left a SYN
// unanswered: the fault may be this VM's.
func TestAllSilent(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "b"))
	v.ofNumber(1).silent(v.now)
	v.ofNumber(2).silent(v.now + time.Millisecond)
	d := v.handle(packet(1, lhflow.SYN))
	assert.Equal(t, d.Action, lhflow.ToServer)
	assert.Equal(t, d.Server, uint32(1), "the one that failed first has had the longest time to recover")
}

// TestSpread compares the spread of flows that stay open with that of a naive random
// choice, over VMs that know nothing of each other.
func TestSpread(t *testing.T) {
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
	assert.Assert(t, most(chosen) <= most(random), "%v against %v", chosen, random)
	assert.Assert(t, float64(most(chosen)) <= 1.1*flows/servers, "%v", chosen)
}

func most(counts map[uint32]int) int {
	high := 0
	for _, n := range counts {
		high = max(high, n)
	}
	return high
}

// TestParts checks that a route parts its flows by weight, alike at all VMs.
func TestParts(t *testing.T) {
	r := Route{Parts: []Part{{"x", 90}, {"y", 10}, {"z", 0}}}
	counts := make(map[string]int)
	for port := uint16(1); port <= 10000; port++ {
		counts[r.service(packet(port, 0).ID)]++
	}
	assert.Assert(t, counts["x"] > 8800 && counts["x"] < 9200, "%v", counts)
	assert.Equal(t, counts["z"], 0)
	none := Route{Parts: []Part{{"x", 0}}}
	assert.Equal(t, none.service(packet(1, 0).ID), "x")
}
