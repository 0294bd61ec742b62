package lhwork

import "time"

const (
	// inFlightPerSlot is the number of units in flight per slot at a scale of 1.
	inFlightPerSlot = 4
	// limiterPeriod is the time between two adjustments of the scale.
	limiterPeriod = 100 * time.Millisecond
	// limiterMinSamples is the minimum number of latency samples for an adjustment.
	limiterMinSamples = 8
	// latencyMemory is the number of samples that the previous mean latency is
	// weighted by.
	latencyMemory = 64
	// minScale keeps one unit in flight for each slot.
	minScale = 1.0 / inFlightPerSlot
	maxScale = 64
	// scaleDecrease and scaleIncrease are the factors of one adjustment.
	scaleDecrease = 0.9
	scaleIncrease = 1.1
	// scaleReversion is the fraction of its distance to 1 that the scale reverts in
	// one period.
	scaleReversion = 0.1
	// The scale decreases while the ratio of mean latency to unloaded latency is
	// above highLatencyRatio, and may increase while it is below lowLatencyRatio.
	highLatencyRatio = 3 * inFlightPerSlot
	lowLatencyRatio  = 0.45 * inFlightPerSlot
	// unloadedInFlight is the number of units in flight per slot below which the
	// latency is that of an unloaded server.
	unloadedInFlight = 0.7
)

// limiter adapts the concurrency limit to the observed latency, which is the time
// from the caller's data to the server's first answer. The zero limiter has a scale
// of 1.
type limiter struct {
	// factor is the scale; 0 stands for 1.
	factor float64
	// unloadedLatency is the latency of idle servers; 0 until the first sample.
	unloadedLatency time.Duration
	// latencySum and count cover the samples since the last adjustment.
	latencySum time.Duration
	count      int
	// meanLatency is the mean latency at the last adjustment.
	meanLatency time.Duration
	// refused is set if a unit was refused for lack of capacity since the last
	// adjustment.
	refused bool
	// adjustedAt is the time of the last adjustment.
	adjustedAt time.Duration
}

// scale returns the factor applied to the concurrency limit.
func (l *limiter) scale() float64 {
	if l.factor == 0 {
		return 1
	}
	return l.factor
}

// recordLatency records a latency sample.
func (l *limiter) recordLatency(latency time.Duration) {
	l.latencySum += latency
	l.count++
}

// adjust updates the scale once a period; perSlot is the number of units in flight
// per slot.
func (l *limiter) adjust(now time.Duration, perSlot float64) {
	if now-l.adjustedAt < limiterPeriod {
		return
	}
	if l.count < limiterMinSamples && now-l.adjustedAt < 10*limiterPeriod {
		return
	}
	l.adjustedAt = now
	if l.count > 0 {
		l.updateMean()
		l.updateUnloaded(perSlot)
	}
	l.factor = min(max(l.nextScale(), minScale), maxScale)
	l.latencySum, l.count, l.refused = 0, 0, false
}

// updateMean updates the mean latency.
func (l *limiter) updateMean() {
	latest := l.latencySum / time.Duration(l.count)
	if l.meanLatency == 0 {
		l.meanLatency = latest
		return
	}
	l.meanLatency += (latest - l.meanLatency) * time.Duration(l.count) / time.Duration(l.count+latencyMemory)
}

// updateUnloaded updates the unloaded latency from the mean if the servers are
// unloaded, or if there is no value yet.
func (l *limiter) updateUnloaded(perSlot float64) {
	switch {
	case l.unloadedLatency == 0:
		l.unloadedLatency = l.meanLatency
	case perSlot < unloadedInFlight:
		l.unloadedLatency += (l.meanLatency - l.unloadedLatency) / 5
	}
}

// nextScale returns the scale for the next period. Without evidence that the
// declared number of slots is wrong, the scale reverts to 1.
func (l *limiter) nextScale() float64 {
	ratio := 0.0
	if l.count > 0 && l.unloadedLatency > 0 {
		ratio = float64(l.meanLatency) / float64(l.unloadedLatency)
	}
	switch {
	case ratio > highLatencyRatio:
		return l.scale() * scaleDecrease
	case l.refused && ratio < lowLatencyRatio:
		return l.scale() * scaleIncrease
	}
	return l.scale() + (1-l.scale())*scaleReversion
}
