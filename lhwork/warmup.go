package lhwork

import (
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhpace"
)

// slowStartRetention is how long the time is kept at which a server began to take flows, for
// services that get their first unit later. It is the longest warm-up that can be declared.
const slowStartRetention = time.Minute

// warmup holds the settings and the VMs among which declared limits are divided.
type warmup struct {
	settings lhpace.Settings
	mu       sync.Mutex
	group    *lhpace.Group
}

// SetWarmup puts settings into force, before the first table. Unless they are enabled, servers that
// begin to take flows get them by slow start.
func (c *Controller) SetWarmup(s lhpace.Settings) {
	c.warmup.settings, c.warmup.group = s, lhpace.NewGroup(s.Self)
}

// SetGroup sets the VMs of the view, and those that this VM can't reach but that may run.
func (c *Controller) SetGroup(now time.Duration, members []lhpace.Member) {
	if !c.warmup.settings.Enabled {
		return
	}
	c.warmup.mu.Lock()
	defer c.warmup.mu.Unlock()
	c.warmup.group.SetMembers(now, members)
}

// coldState is what the declared limit on the new flows of a cold server needs.
type coldState struct {
	// until is when the server is warm.
	until time.Duration
	// sent holds the flows that the VM has placed on the server.
	sent lhpace.Window
}

// startWarmup begins slow start, or the server's pace.
func (s *server) startWarmup(started time.Duration) {
	if !s.pool.warmup.settings.Enabled {
		s.warmingUp, s.started = true, started
		return
	}
	s.pace = lhpace.NewPace(started)
	if service := s.declared.Service(); service.Starts() > 0 {
		s.cold = &coldState{until: started + service.Warmup()}
	}
}

// coldAllows reports whether the declared limit allows the VM to place a flow on the server.
func (s *server) coldAllows(now time.Duration) bool {
	if s.cold == nil || now >= s.cold.until {
		s.cold = nil
		return true
	}
	return s.cold.sent.Allows(now, s.pool.warmup.part(now, s))
}

// coldFor returns how long the declared limit holds.
func (s *server) coldFor(now time.Duration) time.Duration {
	if s.cold == nil {
		return 0
	}
	return max(s.cold.until-now, 0)
}

// part returns how many flows of a cold server the VM may place within lhpace.WindowLength.
func (w *warmup) part(now time.Duration, s *server) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.group.Expire(now)
	if !w.group.Ready(now, 0) {
		return 0
	}
	rank, count, ok := w.group.Rank(s.declared.Number(), s.declared.DataCentre())
	if !ok {
		return 0
	}
	limit := lhpace.Declared{
		PerSecond: s.declared.Service().Starts(), Overshoot: w.settings.Overshoot, Slack: w.settings.Slack,
	}
	return limit.Part(rank, count)
}

// recordPace has the pace of a server follow an answer.
func (p *pool) recordPace(now time.Duration, s *server, k *kind, latency time.Duration) {
	switch {
	case s.pace == nil:
		k.usual.Record(latency)
	case s.pace.Answered(now, k.usual.Ratio(latency, 0)):
		p.stale = true
	}
}
