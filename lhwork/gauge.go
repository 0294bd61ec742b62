package lhwork

import (
	"math"
	"time"
)

// gauge counts events of the recent past: each one fades within a lifetime. The
// zero gauge is 0.
type gauge struct {
	// value is the count at the time at; never negative.
	value float64
	at    time.Duration
}

// read returns the count at now.
func (g *gauge) read(now, lifetime time.Duration) float64 {
	if now > g.at {
		g.value *= remains(now-g.at, lifetime)
		g.at = now
	}
	return g.value
}

// add counts more events.
func (g *gauge) add(now, lifetime time.Duration, events float64) {
	g.value = g.read(now, lifetime) + events
}

// rate returns the events a second of a gauge that counts them.
func (g *gauge) rate(now, lifetime time.Duration) float64 {
	return g.read(now, lifetime) / lifetime.Seconds()
}

// average is a mean over the recent past. The zero average is 0.
type average struct {
	value float64
	at    time.Duration
}

// observe takes x as the level since the last observation and returns the mean.
func (a *average) observe(now, lifetime time.Duration, x float64) float64 {
	if now > a.at {
		a.value = x + (a.value-x)*remains(now-a.at, lifetime)
		a.at = now
	}
	return a.value
}

// remains returns the part of a value that is left after a time.
func remains(after, lifetime time.Duration) float64 {
	x := float64(after) / float64(lifetime)
	if x < 1e-3 {
		return 1 - x
	}
	return math.Exp(-x)
}
