package lhentry

import (
	"strings"
	"sync/atomic"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// Count identifies a counter of packet handling.
type Count uint8

// The counters.
const (
	CountReceived Count = iota
	CountToServer
	CountToCaller
	CountToPeer
	CountFromPeer
	CountRefused
	CountReset
	CountAbandoned
	CountForeignSource
	CountTooBig
	CountSendFailed
	CountServerAhead
	numCounts
)

var countNames = [numCounts]string{
	"packets_received", "packets_to_server", "packets_to_caller", "packets_to_peer",
	"packets_from_peer", "packets_refused", "packets_reset", "halfopen_abandoned",
	"dropped_foreign_source", "answered_too_big", "send_failed",
	"dropped_server_ahead",
}

var reasonNames = [lhflow.ReasonCount]string{
	"none", "no_service", "no_server", "refused", "server_gone", "unknown_flow",
	"late_answer", "cut_off", "hops", "reuse", "full", "silent", "no_config", "stale",
	"evacuated",
}

// counters holds the counters of one worker. Workers do not share cache lines.
type counters struct {
	counts  [numCounts]atomic.Uint64
	reasons [lhflow.ReasonCount]atomic.Uint64
	faults  [lhwire.FaultCount]atomic.Uint64
	// _ pads the struct so that the counters of two workers are on separate cache lines.
	_ [64]byte
}

func (c *counters) add(n Count) { c.counts[n].Add(1) }

// addTo adds the counters to sums, by name.
func (c *counters) addTo(sums map[string]uint64) {
	for i := range c.counts {
		sums[countNames[i]] += c.counts[i].Load()
	}
	for i := 1; i < len(c.reasons); i++ {
		sums["reason_"+reasonNames[i]] += c.reasons[i].Load()
	}
	for i := 1; i < len(c.faults); i++ {
		sums["fault_"+strings.ReplaceAll(lhwire.Fault(i).String(), "-", "_")] += c.faults[i].Load()
	}
}
