package lhwork

import (
	"math"
	"time"
)

// decayingCounter counts recent events: each event decays exponentially with a time
// constant. The zero decayingCounter is 0.
type decayingCounter struct {
	// value is the count at the time updated; never negative.
	value   float64
	updated time.Duration
}

// read returns the count at now.
func (c *decayingCounter) read(now, timeConstant time.Duration) float64 {
	if now > c.updated {
		c.value *= decayFactor(now-c.updated, timeConstant)
		c.updated = now
	}
	return c.value
}

// add adds events to the count.
func (c *decayingCounter) add(now, timeConstant time.Duration, events float64) {
	c.value = c.read(now, timeConstant) + events
}

// rate returns the rate of events per second.
func (c *decayingCounter) rate(now, timeConstant time.Duration) float64 {
	return c.read(now, timeConstant) / timeConstant.Seconds()
}

// movingAverage is an exponentially weighted mean of a level over time. The zero
// movingAverage is 0.
type movingAverage struct {
	value   float64
	updated time.Duration
}

// observe records x as the level since the last observation and returns the mean.
func (a *movingAverage) observe(now, timeConstant time.Duration, x float64) float64 {
	if now > a.updated {
		a.value = x + (a.value-x)*decayFactor(now-a.updated, timeConstant)
		a.updated = now
	}
	return a.value
}

// decayFactor returns the fraction of a value that remains after the elapsed time.
func decayFactor(elapsed, timeConstant time.Duration) float64 {
	x := float64(elapsed) / float64(timeConstant)
	if x < 1e-3 {
		return 1 - x
	}
	return math.Exp(-x)
}
