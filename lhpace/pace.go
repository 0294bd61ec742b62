package lhpace

import (
	"math"
	"time"
)

// Full is the part with which a pace ends. A server without flows is preferred to others, up
// to this many times its usual part, until it has its part of the open flows.
const Full = 3

const (
	// initialPart is the part with which a server begins: what a server bears that is ten
	// times slower than usual.
	initialPart = 0.1
	// doublingTime is the time in which the part doubles until the first slow answer. It is
	// above the time in which a queue shows in answers, and in which other VMs learn of it.
	doublingTime = 400 * time.Millisecond
	// recoveryTime is the time in which the part grows by 1 after slow answers.
	recoveryTime = 3 * time.Second
	// queuedRatio is how many times longer than usual an answer takes that has waited in a
	// queue. Work differs by less between requests of a route, and a cold server that does
	// not queue is slower by less.
	queuedRatio = 3
	// decreaseInterval is the minimum time between two decreases: answers that are under way
	// show the part of before.
	decreaseInterval = 200 * time.Millisecond
)

// Pace is the part of its usual new flows that a server gets at one VM after it has started,
// come back or answered again. It grows with time, since a VM among many gets few
// answers of any one server, and falls with each answer that shows a queue, which VMs share.
type Pace struct {
	// part is the part as of since.
	part  float64
	since time.Duration
	// slowed is set after the first slow answer, the last of which that counted came at slowedAt.
	slowed   bool
	slowedAt time.Duration
}

// NewPace returns the pace of a server that begins.
func NewPace(now time.Duration) *Pace { return &Pace{part: initialPart, since: now} }

// Part returns the part of its usual new flows that the server may get, up to Full.
func (p *Pace) Part(now time.Duration) float64 {
	elapsed := float64(max(now-p.since, 0))
	if p.slowed {
		return min(p.part+elapsed/float64(recoveryTime), Full)
	}
	return min(p.part*math.Exp2(elapsed/float64(doublingTime)), Full)
}

// Answered records an answer that took a ratio of what answers usually take (Usual.Ratio). It
// reports whether the answer shows a queue and counts.
func (p *Pace) Answered(now time.Duration, ratio float64) bool {
	return ratio > queuedRatio && p.Slow(now)
}

// Slow records an answer that shows a queue at the server, and reports whether it counts.
func (p *Pace) Slow(now time.Duration) bool {
	if p.slowed && now-p.slowedAt < decreaseInterval {
		return false
	}
	p.part, p.since = p.Part(now)/2, now
	p.slowed, p.slowedAt = true, now
	return true
}
