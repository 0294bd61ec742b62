package lhwork

import "time"

const (
	// openingLifetime is how long a half-open flow counts as in flight.
	openingLifetime = 100 * time.Millisecond
	// waitingLifetime is how long a flow without an answer counts as in flight.
	waitingLifetime = 2 * time.Second
	// shareAverageTime is the time constant of the mean used to check a kind against
	// its share, and inFlightAverageTime that of the mean used to check all units
	// against the limit.
	shareAverageTime    = 2 * time.Second
	inFlightAverageTime = 150 * time.Millisecond
)

// load counts the units in flight of one kind, server or service. The zero load is
// idle.
type load struct {
	// opening counts half-open flows.
	opening Window
	// waiting counts flows that wait for the server's first answer to data.
	waiting Window
	// mean is the mean of the units in flight.
	mean MovingAverage
}

// inFlight returns the units in flight at now. Half-open flows are scaled by the
// rate at which handshakes are expected to be completed.
func (l *load) inFlight(now time.Duration, completion float64) float64 {
	return l.opening.Read(now, openingLifetime)*completion + l.waiting.Read(now, waitingLifetime)
}

// observe updates the mean and returns it with the units in flight.
func (l *load) observe(now, timeConstant time.Duration, completion float64) (mean, current float64) {
	current = l.inFlight(now, completion)
	return l.mean.Observe(now, timeConstant, current), current
}

func (l *load) opened(now time.Duration) { l.opening.Add(now, openingLifetime) }

func (l *load) established(now time.Duration) {
	l.opening.Remove(now, openingLifetime)
	l.waiting.Add(now, waitingLifetime)
}

// ended removes a flow that was in phase p.
func (l *load) ended(now time.Duration, p Phase) {
	switch p {
	case PhaseOpening:
		l.opening.Remove(now, openingLifetime)
	case PhaseWaiting:
		l.waiting.Remove(now, waitingLifetime)
	}
}
