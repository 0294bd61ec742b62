package lhwork

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// IdempotencyKey identifies a unit of work across its retries. The zero
// IdempotencyKey means that the unit has none.
type IdempotencyKey [16]byte

// Unit is a unit of work that requests admission.
type Unit struct {
	// Key is the 5-tuple of the flow that carries the unit.
	Key lhflow.Key
	// IdempotencyKey is set where the protocol that carries the unit exposes one.
	IdempotencyKey IdempotencyKey
	// IssuedAt is when the caller issued the idempotency key, on the VM's monotonic
	// clock; 0 if unknown.
	IssuedAt time.Duration
	// Deadline is when the caller stops waiting; 0 means no deadline.
	Deadline time.Duration
}

// Reason is the reason why a unit was refused. Each reason has a counter.
type Reason uint8

// The reasons.
const (
	// ReasonNone means that the unit was admitted.
	ReasonNone Reason = iota
	// ReasonNoService means that no service matches the unit's key.
	ReasonNoService
	// ReasonDeadline means that the deadline of the unit has passed.
	ReasonDeadline
	// ReasonHalfOpen means that the limit of half-open flows is reached.
	ReasonHalfOpen
	// ReasonKindFlows means that the kind has reached its declared number of flows.
	ReasonKindFlows
	// ReasonFlows means that the servers of the service have reached their flow
	// limits, or that the remaining flows are reserved for other kinds.
	ReasonFlows
	// ReasonWork means that the kind exceeds its share while no capacity is left to
	// lend.
	ReasonWork
	// ReasonRepeated means that the idempotency key already has an outcome, which is
	// in Decision.Outcome.
	ReasonRepeated
	// ReasonNotKnown means that the unit may have run before, on another VM or under
	// a record that has expired, or that its outcome can't be stored.
	ReasonNotKnown
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the name of the reason in dumps and metrics.
func (r Reason) String() string {
	names := [ReasonCount]string{
		"none", "noservice", "deadline", "halfopen", "kindflows", "flows", "work", "repeated", "notknown",
	}
	if r >= ReasonCount {
		return "unknown"
	}
	return names[r]
}

// Outcome is the outcome stored for an idempotency key.
type Outcome uint8

// The outcomes.
const (
	// OutcomeNone means that the key has not been seen.
	OutcomeNone Outcome = iota
	// OutcomeRefused means that the unit was refused and did not run.
	OutcomeRefused
	// OutcomeAdmitted means that the unit was admitted and may have run.
	OutcomeAdmitted
	// OutcomeDone means that the unit has run to completion.
	OutcomeDone
)

// Decision is the result of an admission request.
type Decision struct {
	// Admitted is true at most once for each idempotency key.
	Admitted bool
	// Kind is the number of the unit's kind of work; 0 if no declared kind matches.
	Kind uint16
	// Reason is ReasonNone for an admitted unit.
	Reason Reason
	// Outcome is set for ReasonRepeated.
	Outcome Outcome
}

// NotRun reports whether the caller may be told that the unit did not run.
func (d Decision) NotRun() bool {
	if d.Reason == ReasonRepeated {
		return d.Outcome == OutcomeRefused
	}
	return !d.Admitted && d.Reason != ReasonNotKnown
}

// Phase is the phase of a flow.
type Phase uint8

// The phases, in their order.
const (
	// PhaseOpening is a flow whose handshake the caller has not completed.
	PhaseOpening Phase = iota
	// PhaseWaiting is a flow that waits for the server's first answer to data.
	PhaseWaiting
	// PhaseServed is a flow that the server has answered.
	PhaseServed
)

// Flow is an admitted flow as reported by the VM that placed it.
type Flow struct {
	// Server is the number of the flow's backend server.
	Server uint32
	// Kind is the Kind of the flow's Decision.
	Kind uint16
	// Caller is the caller's address; IPv4 in its 16-byte mapped form.
	Caller [16]byte
	// Phase is the phase that the flow was in before the event.
	Phase Phase
}
