package lhdemo

import (
	"errors"

	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// Tally counts flows of one pattern by how they ended.
type Tally struct {
	Pattern string `json:"pattern"`
	// Opened counts the flows that were tried; the others add up to it at the end.
	Opened int `json:"opened"`
	Whole  int `json:"whole"`
	// Refused counts flows whose callers were told that nothing ran.
	Refused int `json:"refused"`
	Broken  int `json:"broken"`
}

// add counts a flow that has ended with an error or none.
func (t *Tally) add(err error) {
	switch {
	case err == nil:
		t.Whole++
	case errors.Is(err, lhstand.Refused):
		t.Refused++
	default:
		t.Broken++
	}
}

// newTally counts the flows of a load.
func newTally(pattern string, r *lhstand.LoadResult) Tally {
	return Tally{
		Pattern: pattern,
		Opened:  r.Flows(),
		Whole:   r.Outcomes[lhstand.Whole],
		Refused: r.Outcomes[lhstand.Refused],
		Broken:  r.Broken(),
	}
}

// repeatedRequests returns how many requests ran more than once, at one server or several.
func (f *Fleet) repeatedRequests() int {
	executions := make(map[string]int)
	for _, s := range f.servers {
		for id, n := range s.AllRuns() {
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

// Traffic sums up what all VMs of a fleet have done.
type Traffic struct {
	// Received counts packets from outside, Passed those handed to another VM.
	Received uint64 `json:"received"`
	Passed   uint64 `json:"passed"`
	// Control is what the VMs have sent each other that is no packet of a flow, in
	// bytes.
	Control uint64 `json:"control"`
	// Reports counts calls for load reports, Failures those without an answer, and
	// Contradictions the reports that contradict what was seen.
	Reports        uint64 `json:"reports"`
	Failures       uint64 `json:"failures"`
	Contradictions uint64 `json:"contradictions"`
}

// traffic adds up the counters of all VMs, also of those that have stopped.
func (f *Fleet) traffic() Traffic {
	var t Traffic
	for _, vm := range f.VMs() {
		c := vm.Dump().Counters
		t.Received += c["packets_received"] - c["packets_from_peer"]
		t.Passed += c["packets_to_peer"]
		t.Control += c["control_bytes_out"]
		t.Reports += c["report_calls"]
		t.Failures += c["report_failures"]
		t.Contradictions += c["report_contradictions"]
	}
	return t
}

// Hops returns the extra hops of a packet on average.
func (t Traffic) Hops() float64 {
	if t.Received == 0 {
		return 0
	}
	return float64(t.Passed) / float64(t.Received)
}
