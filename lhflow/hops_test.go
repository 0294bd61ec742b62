package lhflow

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestHopsTable prints how many extra hops a packet takes, by the length of the
// flow in packets (one every 10 ms, both ways in turn) and by how many relayed
// packets an owner waits for before it returns the record.
func TestHopsTable(t *testing.T) {
	lengths := []int{6, 20, 60, 200, 2000}
	t.Logf("%-10s %v packets", "teach", lengths)
	perPacket := map[int][]float64{}
	for _, teach := range []int{-1, 4, 8, 16, 32, never} {
		for _, length := range lengths {
			perPacket[teach] = append(perPacket[teach], hopsPerPacket(teach, length, 20*time.Millisecond, startVMs))
		}
		t.Logf("%-10d %.2f", teach, perPacket[teach])
	}
	// Long flows take hardly any extra hop; short ones no more than without leases.
	used, without := perPacket[defaultTeach], perPacket[never]
	assert.Assert(t, used[len(lengths)-1] < without[len(lengths)-1]/4)
	assert.Equal(t, fmt.Sprintf("%.1f", used[0]), fmt.Sprintf("%.1f", without[0]))
}

// TestHopsOfSlowFlows holds flows that are too slow for leases to be of use to
// what they take without any.
func TestHopsOfSlowFlows(t *testing.T) {
	for _, vms := range []int{startVMs, maxVMs} {
		for _, gap := range []time.Duration{20 * time.Millisecond, 200 * time.Millisecond, time.Second, 5 * time.Second} {
			used := hopsPerPacket(defaultTeach, 200, gap, vms)
			without := hopsPerPacket(never, 200, gap, vms)
			t.Logf("%2d VMs, two packets every %5v: %.2f, without leases %.2f", vms, gap, used, without)
			assert.Assert(t, used <= without*1.1)
		}
	}
}

// never is a number of relayed packets that no flow reaches.
const never = 1 << 20

func hopsPerPacket(teach, length int, gap time.Duration, vms int) float64 {
	w := newWorld(newEngineFleet(Limits{Teach: teach}), 3)
	for w.next < vms {
		w.apply(change{kind: "join"})
	}
	w.tellAll()
	w.tally = tally{}
	for range max(4000/length, 4) {
		w.open(false)
		s := w.streams[len(w.streams)-1]
		for sent := 5; sent < length; sent += 2 {
			w.now += gap - time.Millisecond
			w.exchange(s)
		}
	}
	return float64(w.tally.hops) / float64(w.tally.packets)
}
