package lhpeer

import "time"

// Timing holds the intervals of the protocol. A field that is 0 stands for its default.
type Timing struct {
	// Period is the time between two regular exchanges of a member.
	Period time.Duration
	// Probe is how long a member waits for an indirect probe.
	Probe time.Duration
	// Suspect is how long a suspicion stands until the member is unreachable.
	Suspect time.Duration
	// Dead is how long a member is unreachable, while most others and its data
	// centre are not, until it is dead.
	Dead time.Duration
	// Forget is how long a member is unreachable at all until it is dead, and how
	// long its entry is kept after that.
	Forget time.Duration
	// Settle is how long a member that finds no active member waits for one.
	Settle time.Duration
	// Alone is how long a member waits for an answer of any of its contacts.
	Alone time.Duration
}

// The defaults of Timing.
const (
	defaultPeriod  = time.Second
	defaultProbe   = 500 * time.Millisecond
	defaultSuspect = 2 * time.Second
	defaultDead    = 15 * time.Second
	defaultForget  = time.Hour
	defaultSettle  = time.Second
	defaultAlone   = 5 * time.Second
)

// filled returns t with defaults in place of zeros.
func (t Timing) filled() Timing {
	for _, f := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&t.Period, defaultPeriod},
		{&t.Probe, defaultProbe},
		{&t.Suspect, defaultSuspect},
		{&t.Dead, defaultDead},
		{&t.Forget, defaultForget},
		{&t.Settle, defaultSettle},
		{&t.Alone, defaultAlone},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	return t
}
