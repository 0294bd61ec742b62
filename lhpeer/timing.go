package lhpeer

import "time"

// Timing holds the intervals of the protocol. A field that is 0 is replaced by its
// default.
type Timing struct {
	// Period is the time between two regular exchanges of a member.
	Period time.Duration
	// Probe is the timeout of an indirect probe.
	Probe time.Duration
	// Suspect is how long a suspicion stands before the member becomes unreachable.
	Suspect time.Duration
	// Dead is how long a member has to be unreachable, while a majority of the
	// group and other members of its data centre are reachable, before it is
	// declared dead.
	Dead time.Duration
	// Forget is how long a member may be unreachable under any conditions before it
	// is declared dead, and how long its entry is kept afterwards.
	Forget time.Duration
	// Settle is how long a joining member that knows no active member waits for
	// one.
	Settle time.Duration
	// ContactTimeout is how long a joining member waits for its contacts to answer
	// before it becomes active without their answers.
	ContactTimeout time.Duration
}

// Defaults of Timing.
const (
	defaultPeriod         = time.Second
	defaultProbe          = 500 * time.Millisecond
	defaultSuspect        = 2 * time.Second
	defaultDead           = 15 * time.Second
	defaultForget         = time.Hour
	defaultSettle         = time.Second
	defaultContactTimeout = 5 * time.Second
)

// withDefaults returns t with zero fields set to their defaults.
func (t Timing) withDefaults() Timing {
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
		{&t.ContactTimeout, defaultContactTimeout},
	} {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	return t
}
