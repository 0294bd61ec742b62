package lhpace

import (
	"math"
	"time"
)

const (
	// usualWeight is the weight of the latest answer in what a route's answers usually take.
	usualWeight = 0.02
	// targetFraction is the fraction of the latency target above which an answer counts as
	// late. The rest allows for the way to the caller.
	targetFraction = 0.75
)

// Usual is how long the answers to a route's requests usually take. The zero Usual knows no
// answer yet.
type Usual struct{ mean time.Duration }

// Record records an answer of a server that is not paced.
func (u *Usual) Record(latency time.Duration) {
	if u.mean == 0 {
		u.mean = latency
		return
	}
	u.mean += time.Duration(usualWeight * float64(latency-u.mean))
}

// Ratio returns how many times longer than usual an answer took; +Inf if it is late for its
// caller, which waits for target, and 0 if nothing is known. A target of 0 is none.
func (u *Usual) Ratio(latency, target time.Duration) float64 {
	switch {
	case target > 0 && float64(latency) > targetFraction*float64(target):
		return math.Inf(1)
	case u.mean == 0:
		return 0
	}
	return float64(latency) / float64(u.mean)
}
