package main

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhdemo"
)

// TestDemo runs the demo with its defaults. Every flow must complete.
func TestDemo(t *testing.T) {
	code, stdout, stderr := runCLI(t, "demo", "-o", "json")
	assert.Equal(t, code, exitOK, "%s%s", stdout, stderr)
	assert.Equal(t, stderr, "")
	var result lhdemo.DemoResult
	assert.NilError(t, json.Unmarshal([]byte(stdout), &result))
	assert.Equal(t, len(result.Steps), 8)
	assert.Equal(t, len(result.Flows), 3)
	for _, tally := range result.Flows {
		assert.Assert(t, tally.Opened > 0)
		assert.Equal(t, tally.Completed, tally.Opened, "%s", tally.Pattern)
	}
	assert.Assert(t, result.VMsPerFlow.Min >= 2)
	assert.Equal(t, result.LateFlows, 0)
	assert.Equal(t, result.RepeatedRequests, 0)
	assert.Assert(t, result.Traffic.ControlBytes > 0)
}
