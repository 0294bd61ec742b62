package lhwork

import (
	"math"
	"time"
)

// DecayingCounter counts recent events: each event decays exponentially with a time
// constant. The zero DecayingCounter is 0.
type DecayingCounter struct {
	// value is the count at the time updated; never negative.
	value   float64
	updated time.Duration
}

// Read returns the count at now.
func (c *DecayingCounter) Read(now, timeConstant time.Duration) float64 {
	if now > c.updated {
		c.value *= decayFactor(now-c.updated, timeConstant)
		c.updated = now
	}
	return c.value
}

// Add adds events to the count.
func (c *DecayingCounter) Add(now, timeConstant time.Duration, events float64) {
	c.value = c.Read(now, timeConstant) + events
}

// Rate returns the rate of events per second.
func (c *DecayingCounter) Rate(now, timeConstant time.Duration) float64 {
	return c.Read(now, timeConstant) / timeConstant.Seconds()
}

// MovingAverage is an exponentially weighted mean of a level over time. The zero
// MovingAverage is 0.
type MovingAverage struct {
	value   float64
	updated time.Duration
}

// Observe records x as the level since the last observation and returns the mean.
func (a *MovingAverage) Observe(now, timeConstant time.Duration, x float64) float64 {
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
