package lhwork

import (
	"math"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// SlowStart is the time in which a cold server comes to its full weight.
	SlowStart = 10 * time.Second
	// minWarmupFactor is the part of its weight that a cold server starts with.
	minWarmupFactor = 0.1
	// minHealth is the least part of its weight that a failing server keeps; it
	// lets some flows through that show when the server is well again.
	minHealth = 1.0 / 16
	// healthDoublingTime is the time in which a server's health doubles.
	healthDoublingTime = 350 * time.Millisecond
	// slowSYNAnswer is the time for an answer to a SYN that counts as a failure.
	slowSYNAnswer = 250 * time.Millisecond
	// unresponsiveSYNs and silentTime make a server silent: as many SYNs without any
	// answer, the first of them so long ago.
	unresponsiveSYNs = 3
	unresponsiveTime = 200 * time.Millisecond
	// probePeriod is the time after which a silent server gets a flow again.
	probePeriod = time.Second
	// reportLifetime is how long a report counts, and how long after the last flow
	// seen it begins to count.
	reportLifetime = 5 * time.Second
	// fullReport and idleReport are reported loads that say full and empty.
	fullReport = 0.9
	idleReport = 0.1
)

// server is what this VM knows of a backend server. The pool's lock guards it.
type server struct {
	// declared changes with the table; its number never does.
	declared *lhplace.Server
	// pool is the service's; it never changes.
	pool *pool
	// held is the number of flows that this VM placed and that are not closed.
	held int
	load load
	// health is the part of the weight that failures have left, as of healthAt.
	health   float64
	healthAt time.Duration
	// unanswered is the number of SYNs since the last answer, the first at since
	// and the last at latest.
	unanswered                      int
	firstUnanswered, lastUnanswered time.Duration
	// warmingUp is set while the server comes to its weight, from started on.
	warmingUp bool
	started   time.Duration
	// report is the load that the server reported at reportAt.
	report   float64
	reportAt time.Duration
	// lastSeen is when this VM last saw anything of the server.
	lastSeen time.Duration

	// effectiveWeight is the weight of the server at present, and flowShare is the flowShare of this
	// VM's flows that the plan gives it; the parts of a pool's servers add up to 1.
	effectiveWeight, flowShare float64
	// limit is this VM's part of the flows that the server may hold.
	limit int

	// The counters only ever grow.
	opened, resets, synTimeouts, contradictions uint64
}

// recordFailure halves what the server gets.
func (s *server) recordFailure(now time.Duration) {
	s.health = max(s.currentHealth(now)/2, minHealth)
	s.healthAt = now
}

// currentHealth returns the part of the weight that failures have left.
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

// unresponsive reports whether the server leaves SYNs without answers.
func (s *server) unresponsive(now time.Duration) bool {
	return s.unanswered >= unresponsiveSYNs && now-s.firstUnanswered > unresponsiveTime
}

// recordSYN notes a SYN that waits for its answer.
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

// warmupFactor returns the part of its weight that slow start gives the server.
func (s *server) warmupFactor(now time.Duration) float64 {
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

// updateWeight brings room up to now.
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

// reportFactor returns the part of the weight that a report leaves. A report counts
// only where nothing has been seen of the server lately.
func (s *server) reportFactor(now time.Duration) float64 {
	if s.reportAt == 0 || now-s.reportAt > reportLifetime || now-s.lastSeen < reportLifetime {
		return 1
	}
	return 1 - 0.9*min(max(s.report, 0), 1)
}

// concurrency returns the units in concurrency that the server takes over all VMs. Failures take
// less from it than from the weight: a server that sheds some flows still carries
// out the others.
func (s *server) concurrency(now time.Duration) float64 {
	if !s.declared.Serving() {
		return 0
	}
	perSlot := 1 + (inFlightPerSlot-1)*s.warmupFactor(now)
	return float64(s.declared.Slots()) * perSlot * math.Sqrt(s.currentHealth(now))
}

// contradicts reports whether a reported load contradicts what was seen.
func (s *server) contradicts(now time.Duration, report, fraction, completed float64) bool {
	if now-s.lastSeen > reportLifetime {
		return false
	}
	slots := float64(s.declared.Slots()) * fraction
	mean, _ := s.load.observe(now, inFlightAverageTime, completed)
	busy := mean > 2*slots || s.currentHealth(now) < 0.5
	idle := mean < slots/4 && s.currentHealth(now) == 1
	return report >= fullReport && idle || report <= idleReport && busy
}
