package lhwork

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// IdempotencyKey names a unit of work over all its retries. The zero IdempotencyKey is none.
type IdempotencyKey [16]byte

// Unit is a unit of work that asks for admission.
type Unit struct {
	// Key is the 5-tuple of the flow that carries the unit.
	Key lhflow.Key
	// IdempotencyKey is set where the carrier shows one.
	IdempotencyKey IdempotencyKey
	// IssuedAt is when the caller gave the unit its identity, on the VM's monotonic
	// clock; 0 where that is not known.
	IssuedAt time.Duration
	// Deadline is when the caller stops waiting; 0 is never.
	Deadline time.Duration
}

// Reason is why a unit was not admitted; each has a counter.
type Reason uint8

// The reasons.
const (
	// ReasonNone is an admitted unit.
	ReasonNone Reason = iota
	// ReasonNoService is a key that no service has.
	ReasonNoService
	// ReasonDeadline is a unit whose deadline has passed.
	ReasonDeadline
	// ReasonHalfOpen is a flow above the limit of half-open flows.
	ReasonHalfOpen
	// ReasonKindFlows is a kind that holds as many flows as are declared for it.
	ReasonKindFlows
	// ReasonFlows is a service whose servers hold as many flows as they may.
	ReasonFlows
	// ReasonWork is a kind above its share while no capacity is left to lend.
	ReasonWork
	// ReasonRepeated is an identity that has an outcome; Decision.Outcome has it.
	ReasonRepeated
	// ReasonNotKnown is an identity that another VM may have run.
	ReasonNotKnown
	// ReasonCount is the number of reasons.
	ReasonCount
)

// String returns the reason's name in dumps and metrics.
func (r Reason) String() string {
	names := [ReasonCount]string{
		"none", "noservice", "deadline", "halfopen", "kindflows", "flows", "work", "repeated", "notknown",
	}
	if r >= ReasonCount {
		return "unknown"
	}
	return names[r]
}

// Outcome is what became of an identity.
type Outcome uint8

// The outcomes.
const (
	// OutcomeNone is an identity that has not been seen.
	OutcomeNone Outcome = iota
	// OutcomeRefused is an identity that was refused and did not run.
	OutcomeRefused
	// OutcomeAdmitted is an identity that was admitted and may have run.
	OutcomeAdmitted
	// OutcomeDone is an identity that has run to its end.
	OutcomeDone
)

// Decision is the answer to a Unit.
type Decision struct {
	// Admitted is true once at most for each identity.
	Admitted bool
	// Kind is the number of the unit's kind of work; 0 where none is declared.
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

// Phase is how far a flow has come.
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

// Flow is an admitted flow as the VM that placed it reports it.
type Flow struct {
	// Server is the number of its backend server.
	Server uint32
	// Kind is the number from its Decision.
	Kind uint16
	// Caller is the caller's address; IPv4 in its 16-byte mapped form.
	Caller [16]byte
	// Phase is the phase that the flow was in before the event.
	Phase Phase
}
