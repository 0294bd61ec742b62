package lhflow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHopsTable logs the extra hops per packet, by the length of the flow in
// packets (one every 10 ms, in alternating directions) and by the number of relayed
// packets after which an owner returns the record.
func TestHopsTable(t *testing.T) {
	lengths := []int{6, 20, 60, 200, 2000}
	t.Logf("%-10s %v packets", "threshold", lengths)
	perPacket := map[int][]float64{}
	for _, threshold := range []int{-1, 4, 8, 16, 32, neverReturn} {
		for _, length := range lengths {
			perPacket[threshold] = append(perPacket[threshold], hopsPerPacket(threshold, length, 20*time.Millisecond, initialVMs))
		}
		t.Logf("%-10d %.2f", threshold, perPacket[threshold])
	}
	// Long flows need hardly any extra hops; short ones no more than without
	// leases.
	used, without := perPacket[defaultRelaysBeforeLease], perPacket[neverReturn]
	assert.Assert(t, used[len(lengths)-1] < without[len(lengths)-1]/4)
	assert.Equal(t, fmt.Sprintf("%.1f", used[0]), fmt.Sprintf("%.1f", without[0]))
}

// TestHopsOfSlowFlows checks that leases add at most a tenth to the hops of flows
// that are too slow to benefit from them.
func TestHopsOfSlowFlows(t *testing.T) {
	for _, vms := range []int{initialVMs, maxVMs} {
		for _, gap := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, time.Second, 5 * time.Second} {
			used := hopsPerPacket(defaultRelaysBeforeLease, 200, gap, vms)
			without := hopsPerPacket(neverReturn, 200, gap, vms)
			t.Logf("%2d VMs, two packets every %5v: %.2f, without leases %.2f", vms, gap, used, without)
			assert.Assert(t, used <= without*1.1)
		}
	}
}

// neverReturn is a number of relayed packets that no flow reaches.
const neverReturn = 1 << 20

func hopsPerPacket(threshold, length int, gap time.Duration, vms int) float64 {
	sim := newSimulation(newEngineFleet(Limits{RelaysBeforeLease: threshold}), 3)
	for sim.nextVM < vms {
		sim.apply(change{kind: "join"})
	}
	sim.deliverAllUpdates()
	sim.results = results{}
	for range max(4000/length, 4) {
		sim.open(false)
		s := sim.flows[len(sim.flows)-1]
		for sent := 5; sent < length; sent += 2 {
			sim.now += gap - time.Millisecond
			sim.exchangeData(s)
		}
	}
	return float64(sim.results.hops) / float64(sim.results.packets)
}
