package lhplace_test

import (
	"fmt"
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// TestPlanBalances checks that sites which all follow the plan load each site by
// its weight, and that no site both sends away and receives flows.
func TestPlanBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sites := make([]lhplace.Site, rapid.IntRange(1, 6).Draw(t, "sites"))
		owners, weight := 0, 0.0
		for i := range sites {
			sites[i] = lhplace.Site{
				Name:   fmt.Sprint("site", i),
				Owners: rapid.IntRange(0, 5).Draw(t, "owners"),
				Weight: float64(rapid.IntRange(0, 9).Draw(t, "weight")),
			}
			owners += sites[i].Owners
			weight += sites[i].Weight
		}
		if owners == 0 || weight == 0 {
			return
		}
		load, sent, received := make([]float64, len(sites)), make([]float64, len(sites)), make([]float64, len(sites))
		for i, home := range sites {
			sum := 0.0
			for j, part := range lhplace.Plan(home.Name, sites) {
				flows := part * float64(home.Owners) / float64(owners)
				load[j] += flows
				sum += part
				if i != j {
					sent[i] += flows
					received[j] += flows
				}
			}
			assert.Assert(t, math.Abs(sum-1) < 1e-9, "fractions of %s add up to %v", home.Name, sum)
		}
		for i, s := range sites {
			assert.Assert(t, math.Abs(load[i]-s.Weight/weight) < 1e-9, "site %d: %v of %v", i, load, sites)
			assert.Assert(t, min(sent[i], received[i]) < 1e-9)
		}
	})
}

func TestPlanWithoutServers(t *testing.T) {
	assert.DeepEqual(t, lhplace.Plan("a", []lhplace.Site{{Name: "a", Owners: 2}}), []float64{0})
	assert.DeepEqual(t, lhplace.Plan("a", nil), []float64{})
}

func TestScoreFollowsWeights(t *testing.T) {
	const flows = 200_000
	weights := []float64{1, 2, 0, 5}
	first := make([]int, len(weights))
	for i := range uint64(flows) {
		id := lhflow.Seed{K0: 1, K1: 2}.ID(lhflow.Key{CallerPort: uint16(i), ServicePort: uint16(i >> 16)})
		first[firstOf(id, weights)]++
	}
	for i, w := range weights {
		part := float64(first[i]) / flows
		assert.Assert(t, math.Abs(part-w/8) < 0.005, "server %d has %v of the flows", i, part)
	}
}

// TestScoreMovesFewFlows checks that a server whose weight falls only loses flows,
// and that all other flows keep their server.
func TestScoreMovesFewFlows(t *testing.T) {
	before, after := []float64{1, 1, 1, 1}, []float64{1, 1, 0.5, 1}
	for i := range uint64(10_000) {
		id := lhflow.ID{Hi: i * 0x9e3779b97f4a7c15, Lo: i}
		if was := firstOf(id, before); was != 2 {
			assert.Equal(t, firstOf(id, after), was)
		}
	}
}

func firstOf(id lhflow.ID, weights []float64) int {
	best, high := 0, 0.0
	for i, w := range weights {
		if s := lhplace.Score(id, uint32(i+1), w); s > high {
			best, high = i, s
		}
	}
	return best
}

func BenchmarkScore14(b *testing.B) {
	weights := make([]float64, 14)
	for i := range weights {
		weights[i] = 1
	}
	id := lhflow.ID{Hi: 1, Lo: 2}
	b.ReportAllocs()
	for b.Loop() {
		id.Lo++
		firstOf(id, weights)
	}
}
