package lhpeer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBudgetLeavesHandOverItsPart overdraws the budget for an hour, as exchanges
// do that are more than it allows. Hand-over goes on with its least part.
func TestBudgetLeavesHandOverItsPart(t *testing.T) {
	b := newBudget(1000)
	b.spend(3_600_000)
	started := time.Now()
	assert.NilError(t, b.wait(t.Context(), 25))
	assert.Assert(t, time.Since(started) >= 25*LeastPart*time.Second/1000)
}
