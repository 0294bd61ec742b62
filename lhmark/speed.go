package lhmark

import (
	"math"
	"time"
)

const (
	// speedMemory is the time in which answers lose the weight 1/e. Servers turn slow for
	// seconds.
	speedMemory = 3 * time.Second
	// keptAnswers is the number of answers that count at most, so that many in a burst don't
	// outweigh the few after it.
	keptAnswers = 48
	// priorAnswers is the weight, in answers, of the assumption that a server is as fast as
	// the usual one.
	priorAnswers = 2
	// ownWeight is the weight of an answer to this VM against one to another, and
	// maxSharedAnswers the largest weight of all answers to others.
	ownWeight, maxSharedAnswers = 6, 16
	// maxTallyAge is the age at which a tally is dropped. It has nearly no weight then.
	maxTallyAge = 2 * speedMemory
	// maxRelativeTime caps the time of one answer, as a multiple of the usual one: a few
	// requests are much larger than the rest. It is also the bound of a mean in a digest.
	maxRelativeTime = 4
	// quickFraction is the fraction of the usual time below which an answer is a refusal.
	quickFraction = 0.2
	// clearRatio is the ratio to the median that is a clear difference in speed. Queues of
	// equal servers differ by less.
	clearRatio = 2.0
	// classMargin is the factor by which the time of a slow or fast server has to come back
	// to count as usual, which keeps the log from repeating itself.
	classMargin = 1.4
	// clearDeviations is how many standard deviations of a mean a clear difference has,
	// and answerDeviation the deviation of one answer relative to the mean.
	clearDeviations, answerDeviation = 4, 0.8
	// minClearAnswers is the number of answers without which a server is not compared.
	minClearAnswers = 8
	// allowedQuick is the share of quick answers, above that of the service, that is not
	// held against a server: some requests are small.
	allowedQuick = 0.1
)

// SpeedTally sums up the answers of a server to one or more VMs.
type SpeedTally struct {
	// Server is the server's number.
	Server uint32
	// Answers is the number of answers that took as long as work does, and Time the sum of
	// their times, each divided by the usual time of its route.
	Answers uint32
	Time    float64
	// Quick is the number of answers that came too soon for work, as a server answers
	// that sheds load.
	Quick uint32
}

// bounded returns the tally with a mean time that servers have.
func (t SpeedTally) bounded() SpeedTally {
	if !(t.Time >= 0) { // also if it is no number
		return SpeedTally{Server: t.Server, Quick: t.Quick}
	}
	n := float64(t.Answers)
	t.Time = min(max(t.Time, quickFraction*n), maxRelativeTime*n)
	return t
}

// recentAnswers is a tally in which answers lose weight with time. The zero value is empty.
type recentAnswers struct {
	answers, time, quick float64
	at                   time.Duration
}

// forget reduces the weights to those at some time.
func (r *recentAnswers) forget(now time.Duration) {
	if now <= r.at {
		return
	}
	f := math.Exp(-float64(now-r.at) / float64(speedMemory))
	r.answers, r.time, r.quick, r.at = r.answers*f, r.time*f, r.quick*f, now
}

func (r *recentAnswers) add(now time.Duration, t SpeedTally) {
	r.forget(now)
	r.answers += float64(t.Answers)
	r.time += t.Time
	r.quick += float64(t.Quick)
	if n := r.answers + r.quick; n > keptAnswers {
		*r = r.scaled(keptAnswers / n)
	}
}

// scaled returns the tally with its answers weighted by a factor.
func (r recentAnswers) scaled(f float64) recentAnswers {
	return recentAnswers{answers: r.answers * f, time: r.time * f, quick: r.quick * f, at: r.at}
}

func (r recentAnswers) plus(o recentAnswers) recentAnswers {
	return recentAnswers{answers: r.answers + o.answers, time: r.time + o.time, quick: r.quick + o.quick, at: r.at}
}

// quickShare returns the share of quick answers.
func (r recentAnswers) quickShare() float64 { return r.quick / (r.answers + r.quick + priorAnswers) }

// serverSpeed is what is known of how fast a server answers. The zero value is a server of
// which nothing is known. It is guarded by the lock of its serverStats.
type serverSpeed struct {
	// heardAt is when an answer to any VM was last recorded; 0 if none was.
	heardAt time.Duration
	// pending are the answers to this VM that have not been reported yet.
	pending SpeedTally
	// own are the answers to this VM, and shared those to all VMs of the data centre.
	own, shared recentAnswers
	// slowness is the expected time of an answer relative to the usual one, 0 standing for
	// 1, and quickShare the share of quick answers, both as of the last update.
	slowness, quickShare float64
	// differs is set if the server clearly differed from others at the last comparison.
	differs bool
	// latestClass is the class at the last comparison, and class the one last reported.
	latestClass, class SpeedClass
}

// recordAnswer records an answer to this VM by its time relative to the usual one.
func (s *serverSpeed) recordAnswer(now time.Duration, relative float64) {
	t := SpeedTally{Quick: 1}
	if relative >= quickFraction {
		t = SpeedTally{Answers: 1, Time: min(relative, maxRelativeTime)}
	}
	s.pending.Answers += t.Answers
	s.pending.Time += t.Time
	s.pending.Quick += t.Quick
	s.own.add(now, t)
	s.heardAt = now
	s.update(now)
}

// update takes what is known into account.
func (s *serverSpeed) update(now time.Duration) {
	known := s.known(now)
	s.slowness, s.quickShare = known.slowness(), known.quickShare()
}

// recordShared takes over a tally of several VMs.
func (s *serverSpeed) recordShared(now time.Duration, t SpeedTally) {
	s.shared.add(now, t.bounded())
	s.heardAt = now
	s.update(now)
}

// take returns the answers to this VM since the last call.
func (s *serverSpeed) take() SpeedTally {
	t := s.pending
	s.pending = SpeedTally{}
	return t
}

// known returns all that is known of the server, each source with its weight.
func (s *serverSpeed) known(now time.Duration) recentAnswers {
	s.own.forget(now)
	s.shared.forget(now)
	shared := s.shared.scaled(min(1, maxSharedAnswers/max(s.shared.answers+s.shared.quick, 1)))
	return s.own.scaled(ownWeight).plus(shared)
}

// slowness returns the mean time relative to the usual one.
func (r recentAnswers) slowness() float64 {
	return (r.time + priorAnswers) / (r.answers + priorAnswers)
}

// factor returns the expected time of an answer relative to the usual one.
func (s *serverSpeed) factor() float64 {
	if s.slowness == 0 {
		return 1
	}
	return s.slowness
}

// differs reports whether the mean of some answers clearly differs from a median.
func (r recentAnswers) differs(median float64) bool {
	if r.answers < minClearAnswers {
		return false
	}
	deviation := math.Abs(math.Log(r.time / r.answers / median))
	return deviation > max(math.Log(clearRatio), clearDeviations*answerDeviation/math.Sqrt(r.answers))
}

// SpeedClass is the speed of a server against the others of its service.
type SpeedClass uint8

// The classes of speed.
const (
	UsualSpeed SpeedClass = iota
	Fast
	Slow
	// Shedding servers refuse more requests than others.
	Shedding
)

// String returns the name of the class in logs.
func (c SpeedClass) String() string {
	names := [...]string{"usual", "fast", "slow", "shedding"}
	if int(c) < len(names) {
		return names[c]
	}
	return "unknown"
}
