package lhwork

import "time"

const (
	// inFlightPerSlot is the number of units in work for each slot at a scale of 1.
	inFlightPerSlot = 4
	// limiterPeriod is the time between two changes of the scale.
	limiterPeriod = 100 * time.Millisecond
	// limiterMinSamples is the least number of answers that a change is based on.
	limiterMinSamples = 8
	// latencyMemory is the number of answers that the mean answer time stands for.
	latencyMemory = 64
	// minScale keeps one unit in work for each slot.
	minScale = 1.0 / inFlightPerSlot
	maxScale = 64
	// scaleDecrease and scaleRise are the factors of one change.
	scaleDecrease = 0.9
	scaleIncrease = 1.1
	// scaleReversion is the part of its way back to 1 that the scale goes in a period.
	scaleReversion = 0.1
	// highLatencyRatio and quickRatio are answer times over the unloaded answer time above
	// which the scale falls and below which it may rise.
	highLatencyRatio = 3 * inFlightPerSlot
	lowLatencyRatio  = 0.45 * inFlightPerSlot
	// unloadedInFlight is the number of units in work per slot below which answer
	// times are those of an unloaded server.
	unloadedInFlight = 0.7
)

// limiter adapts the limit of units in work to the answer times that are seen.
// The zero limiter has a scale of 1.
type limiter struct {
	// factor is the scale; 0 stands for 1.
	factor float64
	// unloadedLatency is the answer time of idle servers; 0 until one was seen.
	unloadedLatency time.Duration
	// latencySum and count are of the answers since the last change.
	latencySum time.Duration
	count      int
	// meanLatency is the mean meanLatency time at the last change.
	meanLatency time.Duration
	// refused is set when a unit was refused for want of capacity since then.
	refused bool
	// adjustedAt is when the scale was last looked at.
	adjustedAt time.Duration
}

// scale returns the factor on the limit of units in work.
func (l *limiter) scale() float64 {
	if l.factor == 0 {
		return 1
	}
	return l.factor
}

// recordLatency notes the time from the caller's data to the server's first answer.
func (l *limiter) recordLatency(latency time.Duration) {
	l.latencySum += latency
	l.count++
}

// adjust changes the scale once a period; perSlot is the number of units in work
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

// updateMean brings the mean answer time up to date.
func (l *limiter) updateMean() {
	latest := l.latencySum / time.Duration(l.count)
	if l.meanLatency == 0 {
		l.meanLatency = latest
		return
	}
	l.meanLatency += (latest - l.meanLatency) * time.Duration(l.count) / time.Duration(l.count+latencyMemory)
}

// updateUnloaded takes the answer time for that of an idle server, if it can be.
func (l *limiter) updateUnloaded(perSlot float64) {
	switch {
	case l.unloadedLatency == 0:
		l.unloadedLatency = l.meanLatency
	case perSlot < unloadedInFlight:
		l.unloadedLatency += (l.meanLatency - l.unloadedLatency) / 5
	}
}

// nextScale returns the scale for the nextScale period. Without evidence that the slots
// declared are wrong, it goes back to 1.
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
