package lhwork

import "time"

const (
	// openingLifetime is how long a half-open flow counts as work to come.
	openingLifetime = 100 * time.Millisecond
	// waitingLifetime is how long a flow counts as in work without any answer.
	waitingLifetime = 2 * time.Second
	// meanLifetime is the time over which use is held against a share.
	meanLifetime = 500 * time.Millisecond
)

// load counts the units in work of one kind, server or service. The zero load is
// idle.
type load struct {
	// opening counts half-open flows.
	opening gauge
	// waiting counts flows that wait for the server's first answer to data.
	waiting gauge
	// mean is the mean of the units in work.
	mean average
}

// inWork returns the units in work at now. Half-open flows count with the part of
// them that is expected to bring work.
func (l *load) inWork(now time.Duration, completed float64) float64 {
	return l.opening.read(now, openingLifetime)*completed + l.waiting.read(now, waitingLifetime)
}

// observe brings the mean up to now and returns it with the units in work.
func (l *load) observe(now time.Duration, completed float64) (mean, current float64) {
	current = l.inWork(now, completed)
	return l.mean.observe(now, meanLifetime, current), current
}

func (l *load) opened(now time.Duration) { l.opening.add(now, openingLifetime, 1) }

func (l *load) established(now time.Duration) {
	l.opening.add(now, openingLifetime, -1)
	l.waiting.add(now, waitingLifetime, 1)
}

// left takes away a flow that was in phase p.
func (l *load) left(now time.Duration, p Phase) {
	switch p {
	case PhaseOpening:
		l.opening.add(now, openingLifetime, -1)
	case PhaseWaiting:
		l.waiting.add(now, waitingLifetime, -1)
	}
}
