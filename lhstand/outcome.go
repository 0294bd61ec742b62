package lhstand

// Outcome tells how a connection or datagram exchange ended for one end. Every
// outcome except Completed is an error.
type Outcome uint8

// Outcomes of a connection or datagram exchange.
const (
	// Pending means that the connection has not ended.
	Pending Outcome = iota
	// Completed means that both ends have closed the connection.
	Completed
	// Refused means that the connection was never established, so nothing was
	// executed.
	Refused
	// Reset means that an established connection was reset. Whether its requests were
	// executed is unknown.
	Reset
	// TimedOut means that packets were no longer acknowledged.
	TimedOut
	// Mismatched means that a response does not match its request.
	Mismatched
	// Canceled means that the local end aborted the connection.
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

// Error implements error.
func (o Outcome) Error() string { return "connection " + o.String() }
