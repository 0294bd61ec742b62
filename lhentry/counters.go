package lhentry

import (
	"strings"
	"sync/atomic"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// Count names a counter of what a VM did with packets.
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
	CountForeign
	CountTooBig
	CountSendFailed
	CountAhead
	countCount
)

var countNames = [countCount]string{
	"packets_received", "packets_to_server", "packets_to_caller", "packets_to_peer",
	"packets_from_peer", "packets_refused", "packets_reset", "halfopen_abandoned",
	"dropped_foreign_source", "answered_too_big", "send_failed",
	"dropped_server_ahead",
}

var reasonNames = [lhflow.ReasonCount]string{
	"none", "no_service", "no_server", "refused", "server_gone", "unknown_flow",
	"late_answer", "cut_off", "hops", "reuse", "full", "silent", "no_config",
}

// counters are the counters of one worker, so that workers share no cache line.
type counters struct {
	counts  [countCount]atomic.Uint64
	reasons [lhflow.ReasonCount]atomic.Uint64
	faults  [lhwire.FaultCount]atomic.Uint64
	// _ keeps the counters of two workers apart.
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
