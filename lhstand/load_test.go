package lhstand

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

func TestLoad(t *testing.T) {
	cases := []struct {
		name     string
		load     Load
		outcome  Outcome
		requests int
		behavior Behavior
	}{
		{"one flow", Load{Flows: 1}, Completed, 1, Behavior{}},
		{"parallel", Load{Flows: 100, Concurrency: 20, Requests: 2, Request: Request{Bytes: 3000}}, Completed, 200, Behavior{}},
		{"paced", Load{Flows: 20, Concurrency: 20, Rate: 1000, Hold: time.Millisecond}, Completed, 20, Behavior{}},
		{"feeds", Load{Flows: 5, Concurrency: 5, Request: Request{ID: "feed", Lines: 3, Interval: time.Millisecond}}, Completed, 5, Behavior{}},
		{"datagrams", Load{Flows: 20, Concurrency: 4, Proto: lhflow.UDP}, Completed, 20, Behavior{}},
		{"no requests", Load{Flows: 10, Concurrency: 2, NoRequest: true}, Completed, 0, Behavior{}},
		{"refused", Load{Flows: 10, Concurrency: 5}, Refused, 0, Behavior{RefuseConnections: true}},
		{"silent", Load{Flows: 5, Concurrency: 5, Timeout: 10 * time.Millisecond}, TimedOut, 0, Behavior{DropPackets: true}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := &BackendServer{Name: "s1", Service: "cutdesk"}
			fabric := startFabric(t, server, 2)
			server.UpdateBehavior(func(b *Behavior) { *b = c.behavior })
			c.load.Service = service
			var observed atomic.Int64
			c.load.OnFlowEnd = func(e FlowResult) {
				if e.Outcome == c.outcome && !e.Ended.Before(e.Started) {
					observed.Add(1)
				}
			}
			result := c.load.Run(context.Background(), fabric)
			assert.Equal(t, result.Outcomes[c.outcome], c.load.Flows)
			assert.Equal(t, result.Flows(), c.load.Flows)
			assert.Equal(t, int(observed.Load()), c.load.Flows)
			assert.Equal(t, result.Requests, c.requests)
			assert.Equal(t, result.Services["cutdesk"], c.requests)
			assert.Equal(t, int(result.RequestLatency.TotalCount()), c.requests)
			var text strings.Builder
			_, err := result.WriteTo(&text)
			assert.NilError(t, err)
			assert.Assert(t, strings.Contains(text.String(), c.outcome.String()))
		})
	}
}

func TestLoadStopsWhenContextEnds(t *testing.T) {
	fabric := startFabric(t, &BackendServer{Name: "s1", Service: "cutdesk"}, 1)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	result := Load{Service: service, Flows: 10}.Run(ctx, fabric)
	assert.Equal(t, result.Flows(), 0)
}

func TestLoadStopsAfterOpenDuration(t *testing.T) {
	fabric := startFabric(t, &BackendServer{Name: "s1", Service: "cutdesk"}, 1)
	result := Load{Service: service, Flows: 10, OpenDuration: time.Nanosecond}.Run(context.Background(), fabric)
	assert.Equal(t, result.Flows(), 0)
}

// TestConsecutiveLoads guards against the reuse of caller ports, which may still be
// in TIME-WAIT after the first load.
func TestConsecutiveLoads(t *testing.T) {
	fabric := startFabric(t, &BackendServer{Name: "s1", Service: "cutdesk"}, 1)
	for range 2 {
		result := Load{Service: service, Flows: 3}.Run(context.Background(), fabric)
		assert.Equal(t, result.Outcomes[Completed], 3)
	}
}

func TestCallersAreUnique(t *testing.T) {
	run := loadRun{Load: Load{}.withDefaults()}
	seen := make(map[string]bool)
	for flow := range 2*portsPerCaller + 1 {
		seen[run.caller(flow).String()] = true
	}
	assert.Equal(t, len(seen), 2*portsPerCaller+1)
}
