package lhwork

import (
	"math"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpace"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// SlowStart is the time in which a server in slow start reaches its full weight.
	SlowStart = 10 * time.Second
	// minWarmupFactor is the fraction of its weight that a server gets at the
	// beginning of slow start.
	minWarmupFactor = 0.1
	// minHealth is the smallest fraction of its weight that a failing server keeps.
	// The flows that it still gets show when the server has recovered.
	minHealth = 1.0 / 16
	// healthDoublingTime is the time in which a server's health doubles.
	healthDoublingTime = 350 * time.Millisecond
	// slowSYNAnswer is the time to the answer to a SYN above which the answer counts
	// as a failure.
	slowSYNAnswer = 250 * time.Millisecond
	// A server is unresponsive after unresponsiveSYNs consecutive SYNs without an
	// answer, the first of them more than unresponsiveTime ago.
	unresponsiveSYNs = 3
	unresponsiveTime = 200 * time.Millisecond
	// probePeriod is the time after which an unresponsive server gets a flow again.
	probePeriod = time.Second
	// reportLifetime is how long a report is valid, and how long after the last
	// observation of the server a report takes effect.
	reportLifetime = 5 * time.Second
	// fullReport and idleReport are the reported loads from which a server counts as
	// full and up to which it counts as idle.
	fullReport = 0.9
	idleReport = 0.1
)

// server is the state of a backend server on this VM, guarded by the lock of its
// pool.
type server struct {
	// declared changes with the table; its number is constant.
	declared *lhplace.Server
	// pool is the pool of the server's service and is constant.
	pool *pool
	// held is the number of open flows that this VM placed on the server or adopted.
	held int
	load load
	// health is the fraction of the weight that remains after failures, as of
	// healthAt.
	health   float64
	healthAt time.Duration
	// unanswered is the number of SYNs sent since the last answer, the first at
	// firstUnanswered and the last at lastUnanswered.
	unanswered                      int
	firstUnanswered, lastUnanswered time.Duration
	// warmingUp is set during slow start, which began at started.
	warmingUp bool
	started   time.Duration
	// pace replaces slow start where settings ask for it; nil at the full pace. cold is set
	// while a declared limit holds.
	pace *lhpace.Pace
	cold *coldState
	// report is the load that the server reported at reportAt.
	report   float64
	reportAt time.Duration
	// lastSeen is when this VM last received anything from the server.
	lastSeen time.Duration

	// effectiveWeight is the current weight of the server, and flowShare is the
	// fraction of this VM's flows that it should get. The flow shares of a pool's
	// servers add up to 1.
	effectiveWeight, flowShare float64
	// limit is this VM's fraction of the server's flow limit.
	limit int

	// The counters are monotonic.
	opened, resets, synTimeouts, contradictions uint64
}

// recordFailure halves the health of the server.
func (s *server) recordFailure(now time.Duration) {
	s.health = max(s.currentHealth(now)/2, minHealth)
	s.healthAt = now
}

// currentHealth returns the fraction of the weight that remains after failures.
func (s *server) currentHealth(now time.Duration) float64 {
	if s.health == 0 {
		return 1
	}
	if s.health < 1 {
		s.health = min(1, s.health*math.Exp2(float64(now-s.healthAt)/float64(healthDoublingTime)))
		s.healthAt = now
	}
	return s.health
}

// unresponsive reports whether the server leaves SYNs unanswered.
func (s *server) unresponsive(now time.Duration) bool {
	return s.unanswered >= unresponsiveSYNs && now-s.firstUnanswered > unresponsiveTime
}

// recordSYN records a SYN that waits for its answer.
func (s *server) recordSYN(now time.Duration) {
	if s.declared.Service().Proto() != lhflow.TCP {
		return
	}
	if s.unanswered == 0 {
		s.firstUnanswered = now
	}
	s.unanswered++
	s.lastUnanswered = now
}

// warmupFactor returns the fraction of its weight that slow start or its pace gives the server.
func (s *server) warmupFactor(now time.Duration) float64 {
	if s.pace != nil {
		part := min(s.pace.Part(now), 1)
		if part == 1 {
			s.pace = nil
		}
		return part
	}
	if !s.warmingUp {
		return 1
	}
	progress := float64(now-s.started) / float64(SlowStart)
	if progress >= 1 {
		s.warmingUp = false
		return 1
	}
	return minWarmupFactor + (1-minWarmupFactor)*max(progress, 0)
}

// updateWeight computes the effective weight at now.
func (s *server) updateWeight(now time.Duration) {
	if !s.declared.Serving() {
		s.effectiveWeight = 0
		return
	}
	health := s.currentHealth(now)
	if s.unresponsive(now) {
		health = minHealth
		if now-s.lastUnanswered > probePeriod {
			health = 1
		}
	}
	s.effectiveWeight = float64(s.declared.Weight()) * s.warmupFactor(now) * health * s.reportFactor(now)
}

// reportFactor returns the fraction of the weight that remains after the server's
// report. A report takes effect only if the server has not been observed recently.
func (s *server) reportFactor(now time.Duration) float64 {
	if s.reportAt == 0 || now-s.reportAt > reportLifetime || now-s.lastSeen < reportLifetime {
		return 1
	}
	return 1 - 0.9*min(max(s.report, 0), 1)
}

// concurrency returns how many units the server may have in flight over all VMs.
// Failures reduce it less than the weight, because a server that sheds some flows
// still processes the others.
func (s *server) concurrency(now time.Duration) float64 {
	if !s.declared.Serving() {
		return 0
	}
	perSlot := 1 + (inFlightPerSlot-1)*s.warmupFactor(now)
	return float64(s.declared.Slots()) * perSlot * math.Sqrt(s.currentHealth(now))
}

// contradicts reports whether a reported load contradicts what this VM has observed.
func (s *server) contradicts(now time.Duration, report, fraction, completion float64) bool {
	if now-s.lastSeen > reportLifetime {
		return false
	}
	slots := float64(s.declared.Slots()) * fraction
	mean, _ := s.load.observe(now, inFlightAverageTime, completion)
	busy := mean > 2*slots || s.currentHealth(now) < 0.5
	idle := mean < slots/4 && s.currentHealth(now) == 1
	return report >= fullReport && idle || report <= idleReport && busy
}
