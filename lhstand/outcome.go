package lhstand

// Outcome is how a connection or an exchange of datagrams ended for one end of
// it. All outcomes but Whole are errors.
type Outcome uint8

// The outcomes.
const (
	// Pending is a connection that has not ended.
	Pending Outcome = iota
	// Whole is a connection that both ends have closed.
	Whole
	// Refused is a connection that was never opened: nothing ran.
	Refused
	// Reset is a connection that was broken off: what ran is not known.
	Reset
	// TimedOut is a connection whose packets were no longer acknowledged.
	TimedOut
	// Wrong is an answer with bytes that its request did not ask for.
	Wrong
	// Canceled is a connection that its own end gave up.
	Canceled
	// OutcomeCount is the number of outcomes.
	OutcomeCount
)

// String returns the name of the outcome.
func (o Outcome) String() string {
	names := [OutcomeCount]string{
		"pending", "whole", "refused", "reset", "timed out", "wrong", "canceled",
	}
	if o >= OutcomeCount {
		return "unknown"
	}
	return names[o]
}

// Error makes an outcome an error.
func (o Outcome) Error() string { return "connection " + o.String() }
