package lhmark

import (
	"sync"
	"time"
)

const (
	// avoidFirst is how long a server that left a SYN unanswered gets no new flow,
	// and avoidLongest bounds the time, which doubles with each further one: a server
	// that is gone loses its entry within that time.
	avoidFirst   = time.Second
	avoidLongest = 4 * time.Second
	// trialTime is how long a server that is tried again gets no second flow: an
	// answer to a SYN is there by then, and the caller's first repeat as well.
	trialTime = 300 * time.Millisecond
	// heldCost is the cost of an open flow against that of a request in progress:
	// the part of its time in which a long flow has one, by what callers send.
	heldCost = 0.05
	// coldCost is how much dearer a server is that has just started.
	coldCost = 1.6
)

// gauge is what a VM has seen of a backend server.
type gauge struct {
	mu sync.Mutex
	// held counts the flows placed there and not ended, busy those with a SYN or a
	// request that is not answered; busy is at most held.
	held, busy int
	// failures counts the SYNs in a row that were not answered.
	failures int
	// avoid is the time until which the server gets no new flow.
	avoid time.Duration
	// warm is when a server that has just started is at full speed.
	warm time.Duration
	// failed is when a SYN was last found unanswered.
	failed time.Duration

	// The counters only ever grow.
	placed, unanswered, answered uint64
}

// suspect reports whether the server has left SYNs unanswered of late.
func (g *gauge) suspect(now time.Duration) bool { return now < g.avoid }

// cost is the load of the server with one more flow, per slot.
func (g *gauge) cost(now time.Duration, slots uint32) float64 {
	c := (float64(g.busy) + heldCost*float64(g.held) + 1) / float64(max(slots, 1))
	if now < g.warm {
		c *= coldCost
	}
	return c
}

// progress returns the number of flows with work in progress.
func (g *gauge) progress() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.busy)
}

// place notes a SYN that goes to the server.
func (g *gauge) place(now time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held++
	g.busy++
	g.placed++
	if g.failures > 0 {
		g.avoid = max(g.avoid, now+trialTime)
	}
}

// silent notes that a SYN was not answered, and returns how many were not in a row.
func (g *gauge) silent(now time.Duration) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.failures++
	g.unanswered++
	g.failed = now
	g.avoid = now + min(avoidFirst<<min(g.failures-1, 4), avoidLongest)
	return g.failures
}

// open notes that a SYN was answered, and reports whether earlier ones were not.
func (g *gauge) open() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	recovered := g.failures > 0
	g.failures, g.avoid = 0, 0
	g.answered++
	return recovered
}

// add changes the numbers of flows held and of those with work in progress.
func (g *gauge) add(held, busy int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held = max(g.held+held, 0)
	g.busy = max(g.busy+busy, 0)
}
