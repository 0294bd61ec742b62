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
	// coldPart is the part of its weight that a cold server starts with.
	coldPart = 0.1
	// healthMin is the least part of its weight that a failing server keeps; it
	// lets some flows through that show when the server is well again.
	healthMin = 1.0 / 16
	// healthDoubling is the time in which a server's health doubles.
	healthDoubling = 350 * time.Millisecond
	// slowAnswer is the time for an answer to a SYN that counts as a failure.
	slowAnswer = 250 * time.Millisecond
	// silentFlows and silentTime make a server silent: as many SYNs without any
	// answer, the first of them so long ago.
	silentFlows = 3
	silentTime  = 200 * time.Millisecond
	// probePeriod is the time after which a silent server gets a flow again.
	probePeriod = time.Second
	// reportValid is how long a report counts, and how long after the last flow
	// seen it begins to count.
	reportValid = 5 * time.Second
	// busyReport and idleReport are reported loads that say full and empty.
	busyReport = 0.9
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
	unanswered    int
	since, latest time.Duration
	// cold is set while the server comes to its weight, from started on.
	cold    bool
	started time.Duration
	// report is the load that the server reported at reportAt.
	report   float64
	reportAt time.Duration
	// seen is when this VM last saw anything of the server.
	seen time.Duration

	// room is the weight of the server at present, and part is the part of this
	// VM's flows that the plan gives it; the parts of a pool's servers add up to 1.
	room, part float64
	// limit is this VM's part of the flows that the server may hold.
	limit int

	// The counters only ever grow.
	opened, resets, silent, disagreed uint64
}

// failed halves what the server gets.
func (s *server) failed(now time.Duration) {
	s.health = max(s.healthy(now)/2, healthMin)
	s.healthAt = now
}

// healthy returns the part of the weight that failures have left.
func (s *server) healthy(now time.Duration) float64 {
	if s.health == 0 {
		return 1
	}
	if s.health < 1 {
		s.health = min(1, s.health*math.Exp2(float64(now-s.healthAt)/float64(healthDoubling)))
		s.healthAt = now
	}
	return s.health
}

// quiet reports whether the server leaves SYNs without answers.
func (s *server) quiet(now time.Duration) bool {
	return s.unanswered >= silentFlows && now-s.since > silentTime
}

// sent notes a SYN that waits for its answer.
func (s *server) sent(now time.Duration) {
	if s.declared.Service().Proto() != lhflow.TCP {
		return
	}
	if s.unanswered == 0 {
		s.since = now
	}
	s.unanswered++
	s.latest = now
}

// warmth returns the part of its weight that slow start gives the server.
func (s *server) warmth(now time.Duration) float64 {
	if !s.cold {
		return 1
	}
	done := float64(now-s.started) / float64(SlowStart)
	if done >= 1 {
		s.cold = false
		return 1
	}
	return coldPart + (1-coldPart)*max(done, 0)
}

// weigh brings room up to now.
func (s *server) weigh(now time.Duration) {
	if !s.declared.Serving() {
		s.room = 0
		return
	}
	health := s.healthy(now)
	if s.quiet(now) {
		health = healthMin
		if now-s.latest > probePeriod {
			health = 1
		}
	}
	s.room = float64(s.declared.Weight()) * s.warmth(now) * health * s.reported(now)
}

// reported returns the part of the weight that a report leaves. A report counts
// only where nothing has been seen of the server lately.
func (s *server) reported(now time.Duration) float64 {
	if s.reportAt == 0 || now-s.reportAt > reportValid || now-s.seen < reportValid {
		return 1
	}
	return 1 - 0.9*min(max(s.report, 0), 1)
}

// work returns the units in work that the server takes over all VMs. Failures take
// less from it than from the weight: a server that sheds some flows still carries
// out the others.
func (s *server) work(now time.Duration) float64 {
	if !s.declared.Serving() {
		return 0
	}
	perSlot := 1 + (workPerSlot-1)*s.warmth(now)
	return float64(s.declared.Slots()) * perSlot * math.Sqrt(s.healthy(now))
}

// disagrees reports whether a reported load contradicts what was seen.
func (s *server) disagrees(now time.Duration, report, fraction, completed float64) bool {
	if now-s.seen > reportValid {
		return false
	}
	slots := float64(s.declared.Slots()) * fraction
	mean, _ := s.load.observe(now, workLifetime, completed)
	busy := mean > 2*slots || s.healthy(now) < 0.5
	idle := mean < slots/4 && s.healthy(now) == 1
	return report >= busyReport && idle || report <= idleReport && busy
}
