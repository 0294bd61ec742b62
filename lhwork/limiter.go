package lhwork

import "time"

const (
	// workPerSlot is the number of units in work for each slot at a scale of 1.
	workPerSlot = 3
	// limiterPeriod is the time between two changes of the scale.
	limiterPeriod = 100 * time.Millisecond
	// limiterSamples is the least number of answers that a change is based on.
	limiterSamples = 8
	// scaleMin keeps one unit in work for each slot.
	scaleMin = 1.0 / workPerSlot
	scaleMax = 64
	// scaleFall and scaleRise are the factors of one change.
	scaleFall = 0.9
	scaleRise = 1.1
	// slowRatio and quickRatio are answer times over the unloaded answer time above
	// which the scale falls and below which it may rise.
	slowRatio  = 1.5 * workPerSlot
	quickRatio = 0.7 * workPerSlot
	// unloadedWork is the number of units in work per slot below which answer
	// times are those of an unloaded server.
	unloadedWork = 0.7
)

// limiter adapts the limit of units in work to the answer times that are seen.
// The zero limiter has a scale of 1.
type limiter struct {
	// factor is the scale; 0 stands for 1.
	factor float64
	// unloaded is the answer time of idle servers; 0 until one was seen.
	unloaded time.Duration
	// sum and count are of the answers since the last change.
	sum   time.Duration
	count int
	// answer is the mean answer time before the last change.
	answer time.Duration
	// refused is set when a unit was refused for want of capacity since then.
	refused bool
	// changed is when the scale was last looked at.
	changed time.Duration
}

// scale returns the factor on the limit of units in work.
func (l *limiter) scale() float64 {
	if l.factor == 0 {
		return 1
	}
	return l.factor
}

// answered notes the time from the caller's data to the server's first answer.
func (l *limiter) answered(after time.Duration) {
	l.sum += after
	l.count++
}

// adjust changes the scale once a period; perSlot is the number of units in work
// per slot.
func (l *limiter) adjust(now time.Duration, perSlot float64) {
	if now-l.changed < limiterPeriod {
		return
	}
	if l.count < limiterSamples && now-l.changed < 10*limiterPeriod {
		return
	}
	l.changed = now
	if l.count > 0 {
		l.answer = l.sum / time.Duration(l.count)
		l.learn(perSlot)
	}
	l.factor = min(max(l.scale()*l.step(), scaleMin), scaleMax)
	l.sum, l.count, l.refused = 0, 0, false
}

// learn takes the answer time for that of an idle server, if it can be.
func (l *limiter) learn(perSlot float64) {
	switch {
	case l.unloaded == 0 || l.answer < l.unloaded:
		l.unloaded = l.answer
	case perSlot < unloadedWork:
		l.unloaded += (l.answer - l.unloaded) / 5
	}
}

// step returns the factor of the next change.
func (l *limiter) step() float64 {
	ratio := 0.0
	if l.count > 0 && l.unloaded > 0 {
		ratio = float64(l.answer) / float64(l.unloaded)
	}
	switch {
	case ratio > slowRatio:
		return scaleFall
	case l.refused && ratio < quickRatio:
		return scaleRise
	case !l.refused && l.scale() > 1:
		return scaleFall
	case !l.refused && l.scale() < 1:
		return scaleRise
	}
	return 1
}
