package lhwork

import "time"

const (
	// openingLifetime is how long a half-open flow counts as work to come.
	openingLifetime = 100 * time.Millisecond
	// waitingLifetime is how long a flow counts as in work without any answer.
	waitingLifetime = 2 * time.Second
	// shareAverageTime is the time over which the use of a kind is held against its
	// share, and workLifetime that over which all work is held against the limit.
	shareAverageTime    = 2 * time.Second
	inFlightAverageTime = 150 * time.Millisecond
)

// load counts the units in work of one kind, server or service. The zero load is
// idle.
type load struct {
	// opening counts half-open flows.
	opening window
	// waiting counts flows that wait for the server's first answer to data.
	waiting window
	// mean is the mean of the units in work.
	mean movingAverage
}

// inFlight returns the units in work at now. Half-open flows count with the part of
// them that is expected to bring work.
func (l *load) inFlight(now time.Duration, completed float64) float64 {
	return l.opening.read(now, openingLifetime)*completed + l.waiting.read(now, waitingLifetime)
}

// observe brings the mean over a lifetime up to now and returns it with the units
// in work.
func (l *load) observe(now, lifetime time.Duration, completed float64) (mean, current float64) {
	current = l.inFlight(now, completed)
	return l.mean.observe(now, lifetime, current), current
}

func (l *load) opened(now time.Duration) { l.opening.add(now, openingLifetime) }

func (l *load) established(now time.Duration) {
	l.opening.remove(now, openingLifetime)
	l.waiting.add(now, waitingLifetime)
}

// ended takes away a flow that was in phase p.
func (l *load) ended(now time.Duration, p Phase) {
	switch p {
	case PhaseOpening:
		l.opening.remove(now, openingLifetime)
	case PhaseWaiting:
		l.waiting.remove(now, waitingLifetime)
	}
}
