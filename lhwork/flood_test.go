package lhwork_test

import (
	"flag"
	"fmt"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// Targets of the experiments.
const (
	keptTarget     = 0.95
	retryTarget    = 0.1
	recoveryTarget = 2 * time.Second
)

// floodSeed is the seed of the experiments; the targets are asserted for every seed.
var floodSeed = flag.Uint64("flood.seed", 1, "seed of the flood experiments")

func floodScenarios() []scenario {
	frozen := func(float64) float64 { return 0.5 }
	zero := func(float64) float64 { return 0 }
	inverted := func(load float64) float64 { return 1 - load }
	return []scenario{
		{name: "least urgent x10", factor: 10, flooded: 2},
		{name: "least urgent x50", factor: 50, flooded: 2},
		{name: "most urgent x10", factor: 10, flooded: 0},
		{name: "most urgent x50", factor: 50, flooded: 0},
		{name: "least x10, frozen reports", factor: 10, flooded: 2, report: frozen},
		{name: "least x10, zero reports", factor: 10, flooded: 2, report: zero},
		{name: "least x10, inverted reports", factor: 10, flooded: 2, report: inverted},
		{name: "least x10, 3 servers shed", factor: 10, flooded: 2, shedding: 3},
		{name: "least x10, 16 slots declared as 2", factor: 10, flooded: 2, slots: 16},
		{name: "most x10, a VM dies", factor: 10, flooded: 0, removedVMs: 1},
		{name: "most x50, 3 servers shed, inverted", factor: 50, flooded: 0, shedding: 3, report: inverted},
	}
}

// TestFlood compares the units served of each kind during a flood with those served
// without one. With -v it prints the table, with the naive policy for comparison.
func TestFlood(t *testing.T) {
	for _, s := range floodScenarios() {
		t.Run(strings.ReplaceAll(s.name, " ", "_"), func(t *testing.T) {
			t.Parallel()
			if testing.Verbose() {
				t.Log(tableRow(s, "naive", runFlood(s, newNaive)))
			}
			r := runFlood(s, newController)
			t.Log(tableRow(s, "lhwork", r))
			for i, kept := range r.kept {
				assert.Check(t, kept >= keptTarget, "%s keeps %.3f", modelKinds()[i].Name, kept)
			}
			assert.Check(t, r.retries <= retryTarget, "retries are %.3f of first attempts", r.retries)
			assert.Check(t, r.recovery <= recoveryTarget, "recovers after %v", r.recovery)
		})
	}
}

// result is the outcome of a flood, by kind.
type result struct {
	during   []tally
	kept     []float64
	goodput  float64
	retries  float64
	recovery time.Duration
}

// runFlood runs a scenario with and without its flood.
func runFlood(s scenario, build func(*lhplace.Table, *lhflow.View) policy) result {
	baseline := s
	baseline.factor = 0
	before, after := newModel(baseline, build, *floodSeed), newModel(s, build, *floodSeed)
	before.run()
	after.run()
	r := result{recovery: after.recovery(before), retries: float64(after.retries) / float64(after.first)}
	done := 0
	for k := range after.kinds {
		flooded := after.total(k, floodStart, floodEnd)
		r.during = append(r.during, flooded)
		r.kept = append(r.kept, float64(flooded.done)/float64(before.total(k, floodStart, floodEnd).done))
		done += flooded.done
	}
	r.goodput = float64(done) / (floodEnd - floodStart).Seconds() / float64(modelCapacity)
	return r
}

// tableRow formats a row of the table: for each kind the fraction of units that it
// keeps, with the units done, refused and reset; then goodput over capacity, retries
// over first attempts, and the recovery time.
func tableRow(s scenario, policy string, r result) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s | %s |", s.name, policy)
	for i, d := range r.during {
		fmt.Fprintf(&b, " %.3f (%d, %d, %d) |", r.kept[i], d.done, d.refused, d.reset)
	}
	fmt.Fprintf(&b, " %.2f | %.3f | %v |", r.goodput, r.retries, r.recovery)
	return b.String()
}
