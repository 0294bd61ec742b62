package lhpeer

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBudgetGuaranteesHandOverMinimum guards against hand-over being blocked by an
// overdrawn budget. Exchanges that need more than the budget overdraw it, here by
// an hour; hand-over still gets its minimum rate.
func TestBudgetGuaranteesHandOverMinimum(t *testing.T) {
	b := newBudget(1000)
	b.spend(3_600_000)
	started := time.Now()
	assert.NilError(t, b.wait(t.Context(), 25))
	assert.Assert(t, time.Since(started) >= 25*MinHandOverDivisor*time.Second/1000)
}
