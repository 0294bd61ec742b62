package lhwork

import "time"

const (
	// workPerSlot is the number of units in work for each slot at a scale of 1.
	workPerSlot = 4
	// limiterPeriod is the time between two changes of the scale.
	limiterPeriod = 100 * time.Millisecond
	// limiterSamples is the least number of answers that a change is based on.
	limiterSamples = 8
	// answerMemory is the number of answers that the mean answer time stands for.
	answerMemory = 64
	// scaleMin keeps one unit in work for each slot.
	scaleMin = 1.0 / workPerSlot
	scaleMax = 64
	// scaleFall and scaleRise are the factors of one change.
	scaleFall = 0.9
	scaleRise = 1.1
	// scaleReturn is the part of its way back to 1 that the scale goes in a period.
	scaleReturn = 0.1
	// slowRatio and quickRatio are answer times over the unloaded answer time above
	// which the scale falls and below which it may rise.
	slowRatio  = 3 * workPerSlot
	quickRatio = 0.45 * workPerSlot
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
	// answer is the mean answer time at the last change.
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
		l.average()
		l.learn(perSlot)
	}
	l.factor = min(max(l.next(), scaleMin), scaleMax)
	l.sum, l.count, l.refused = 0, 0, false
}

// average brings the mean answer time up to date.
func (l *limiter) average() {
	latest := l.sum / time.Duration(l.count)
	if l.answer == 0 {
		l.answer = latest
		return
	}
	l.answer += (latest - l.answer) * time.Duration(l.count) / time.Duration(l.count+answerMemory)
}

// learn takes the answer time for that of an idle server, if it can be.
func (l *limiter) learn(perSlot float64) {
	switch {
	case l.unloaded == 0:
		l.unloaded = l.answer
	case perSlot < unloadedWork:
		l.unloaded += (l.answer - l.unloaded) / 5
	}
}

// next returns the scale for the next period. Without evidence that the slots
// declared are wrong, it goes back to 1.
func (l *limiter) next() float64 {
	ratio := 0.0
	if l.count > 0 && l.unloaded > 0 {
		ratio = float64(l.answer) / float64(l.unloaded)
	}
	switch {
	case ratio > slowRatio:
		return l.scale() * scaleFall
	case l.refused && ratio < quickRatio:
		return l.scale() * scaleRise
	}
	return l.scale() + (1-l.scale())*scaleReturn
}
