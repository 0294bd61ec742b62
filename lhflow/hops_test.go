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
	for _, teach := range []int{-1, 4, 8, 16, 32, 1 << 20} {
		for _, length := range lengths {
			perPacket[teach] = append(perPacket[teach], hopsPerPacket(teach, length))
		}
		t.Logf("%-10d %.2f", teach, perPacket[teach])
	}
	// Long flows take hardly any extra hop; short ones no more than without leases.
	used, never := perPacket[defaultTeach], perPacket[1<<20]
	assert.Assert(t, used[len(lengths)-1] < never[len(lengths)-1]/4)
	assert.Equal(t, fmt.Sprintf("%.1f", used[0]), fmt.Sprintf("%.1f", never[0]))
}

func hopsPerPacket(teach, length int) float64 {
	w := newWorld(newEngineFleet(Limits{Teach: teach}), 3)
	for range max(4000/length, 4) {
		w.open(false)
		s := w.streams[len(w.streams)-1]
		for sent := 5; sent < length; sent += 2 {
			w.now += 19 * time.Millisecond
			w.exchange(s)
		}
	}
	return float64(w.tally.hops) / float64(w.tally.packets)
}
