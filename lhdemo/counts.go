package lhdemo

import (
	"errors"

	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// FlowCounts counts flows of one pattern by outcome.
type FlowCounts struct {
	Pattern string `json:"pattern"`
	// Opened counts the attempts to open a flow. At the end it is the sum of the other
	// counts.
	Opened int `json:"opened"`
	// Completed counts flows that ended without an error.
	Completed int `json:"whole"`
	// Refused counts flows that were refused, so that no request was executed.
	Refused int `json:"refused"`
	// Broken counts flows that failed in any other way.
	Broken int `json:"broken"`
}

// add counts a flow that ended with an error, or completed if err is nil.
func (c *FlowCounts) add(err error) {
	switch {
	case err == nil:
		c.Completed++
	case errors.Is(err, lhstand.Refused):
		c.Refused++
	default:
		c.Broken++
	}
}

// newFlowCounts returns the counts of a load.
func newFlowCounts(pattern string, r *lhstand.LoadResult) FlowCounts {
	return FlowCounts{
		Pattern:   pattern,
		Opened:    r.Flows(),
		Completed: r.Outcomes[lhstand.Completed],
		Refused:   r.Outcomes[lhstand.Refused],
		Broken:    r.Broken(),
	}
}

// repeatedRequests returns how many requests were executed more than once, by one
// server or several.
func (f *Fleet) repeatedRequests() int {
	executions := make(map[string]int)
	for _, s := range f.servers {
		for id, n := range s.AllExecutions() {
			executions[id] += n
		}
	}
	repeated := 0
	for _, n := range executions {
		if n > 1 {
			repeated++
		}
	}
	return repeated
}

// Traffic sums up counters of all VMs of a fleet.
type Traffic struct {
	// Received counts packets from callers and backend servers, and Forwarded
	// those that a VM passed on to another VM.
	Received  uint64 `json:"received"`
	Forwarded uint64 `json:"passed"`
	// ControlBytes counts the bytes of control messages between the VMs, which carry
	// no packets of flows.
	ControlBytes uint64 `json:"control"`
	// Reports counts requests for load reports, FailedReports those without a
	// response, and ContradictedReports the reports that contradict the observed load.
	Reports             uint64 `json:"reports"`
	FailedReports       uint64 `json:"failures"`
	ContradictedReports uint64 `json:"contradictions"`
}

// traffic sums up the counters of all VMs, including stopped ones.
func (f *Fleet) traffic() Traffic {
	var t Traffic
	for _, vm := range f.VMs() {
		c := vm.Dump().Counters
		t.Received += c["packets_received"] - c["packets_from_peer"]
		t.Forwarded += c["packets_to_peer"]
		t.ControlBytes += c["control_bytes_out"]
		t.Reports += c["report_calls"]
		t.FailedReports += c["report_failures"]
		t.ContradictedReports += c["report_contradictions"]
	}
	return t
}

// ExtraHops returns how often a packet is forwarded to another VM on average.
func (t Traffic) ExtraHops() float64 {
	if t.Received == 0 {
		return 0
	}
	return float64(t.Forwarded) / float64(t.Received)
}
