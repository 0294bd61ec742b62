package lhwork_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// TestAllocate checks the guarantees of Allocate for random demand.
func TestAllocate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const capacity = 100.0
		claims := make([]lhwork.Claim, rapid.IntRange(1, 6).Draw(t, "claims"))
		percent := 100
		for i := range claims {
			share := rapid.IntRange(0, percent).Draw(t, "share")
			percent -= share
			claims[i] = lhwork.Claim{
				Share:   float64(share) / 100,
				Urgency: uint8(rapid.IntRange(0, 2).Draw(t, "urgency")),
				Demand:  float64(rapid.IntRange(0, 5000).Draw(t, "want")),
			}
		}
		lhwork.Allocate(capacity, claims)
		granted, wanted := 0.0, 0.0
		for i, c := range claims {
			granted += c.Grant
			wanted += c.Demand
			assert.Assert(t, c.Grant >= min(c.Demand, c.Share*capacity)-1e-6, "claim %d below its share: %+v", i, c)
			assert.Assert(t, c.Grant <= c.Demand+1e-6, "claim %d above its demand: %+v", i, c)
			for _, other := range claims {
				lends := other.Grant > other.Share*capacity+1e-6
				assert.Assert(t, !lends || c.Grant >= c.Demand-1e-6 || other.Urgency >= c.Urgency,
					"%+v exceeds its share while the more urgent %+v has unmet demand", other, c)
			}
		}
		assert.Assert(t, math.Abs(granted-min(capacity, wanted)) < 1e-6, "granted %v of %v", granted, wanted)
	})
}

func TestAllocateEvenly(t *testing.T) {
	claims := []lhwork.Claim{
		{Share: 0.2, Urgency: 1, Demand: 1000},
		{Share: 0.1, Urgency: 1, Demand: 1000},
		{Share: 0.3, Urgency: 1, Demand: 5},
		{Share: 0.1, Urgency: 0, Demand: 1000},
	}
	lhwork.Allocate(100, claims)
	for i, want := range []float64{170.0 / 3, 85.0 / 3, 5, 10} {
		assert.Assert(t, math.Abs(claims[i].Grant-want) < 1e-6, "claim %d: %v", i, claims[i].Grant)
	}
}
