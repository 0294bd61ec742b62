package lhmark

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpace"
)

// coldState is what the declared limit on the new flows of a cold server needs.
type coldState struct {
	// until is when the server is warm, at the latest, and sequence the report that says so.
	until    time.Duration
	sequence uint64
	// least is the time up to which reports are not believed that the server is warm.
	least time.Duration
	// sent holds the SYNs that were sent to the server while it was cold.
	sent lhpace.Window
	// part is the VM's part of limit while generation is that of the group.
	part       int
	limit      lhpace.Declared
	generation uint64
}

// SetMembers sets the VMs that the store lists, among which declared limits are divided.
func (e *Engine) SetMembers(now time.Duration, members []lhpace.Member) {
	if !e.warmup.settings.Enabled {
		return
	}
	e.warmup.mu.Lock()
	defer e.warmup.mu.Unlock()
	e.warmup.group.SetMembers(now, members)
}

// SetAsOf sets the time as of which the state of the store is known.
func (e *Engine) SetAsOf(at time.Duration) { e.warmup.asOf.Store(int64(at)) }

// StoodStill records that the process has stood still, so that what it knows is older by that
// than its clock may say.
func (e *Engine) StoodStill(d time.Duration) { e.warmup.asOf.Add(-int64(d)) }

// RecordReport takes over how long a server stays cold from a later report of the same run. It
// reports whether the server was warm and is cold again, which other VMs have to know where a
// limit is declared. No pace begins, so that reports that change leave no server idle.
func (e *Engine) RecordReport(now time.Duration, s *Server) bool {
	known, ok := e.table.Load().byNumber[s.Number]
	if !e.warmup.settings.Enabled || !ok || known.Name != s.Name || known.StartedAt != s.StartedAt {
		return false
	}
	stats := e.statsOf(s)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	coldAgain := s.Warmup > 0 && stats.coldUntil() <= now
	if stats.cold == nil && coldAgain {
		stats.cold = new(coldState)
	}
	cold := stats.cold
	if cold == nil || s.Sequence <= cold.sequence {
		return false
	}
	cold.sequence, cold.until = s.Sequence, max(now+s.Warmup, cold.least)
	return coldAgain && e.declaredLimit(s.Service).IsSet()
}

// Warmup returns how long a server stays cold at most.
func (e *Engine) Warmup(now time.Duration, number uint32) time.Duration {
	stats := e.statsByNumber(number)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	return max(stats.coldUntil()-now, 0)
}

// coldUntil returns when the server is warm, at the latest. The lock must be held.
func (s *serverStats) coldUntil() time.Duration {
	if s.cold == nil {
		return s.warmAt
	}
	return s.cold.until
}

// countAsCold has the server count as cold until a time. The lock must be held.
func (s *serverStats) countAsCold(until time.Duration) {
	if s.cold == nil {
		s.cold = new(coldState)
	}
	s.cold.until = max(s.cold.until, until)
}

// coldAllows reports whether the declared limit of the server's service, if there is one,
// allows this VM to send it a SYN. It applies to a server in an outage as well, which may be
// starting again. The lock of the statistics must be held.
func (e *Engine) coldAllows(now time.Duration, s *Server, stats *serverStats) bool {
	limit := e.declaredLimit(s.Service)
	if !limit.IsSet() {
		return true
	}
	if stats.failures >= outageFailures {
		stats.countAsCold(stats.avoidUntil + limit.Duration)
	}
	cold := stats.cold
	return cold == nil || now >= cold.until || cold.sent.Allows(now, e.coldPart(now, s, cold, limit))
}

// declaredLimit returns the limit on new flows of cold servers of a service, if there is one.
func (e *Engine) declaredLimit(service string) lhpace.Declared {
	return e.limitIn(e.table.Load(), service)
}

// limitIn returns the same limit as a table declares it.
func (e *Engine) limitIn(t *Table, service string) lhpace.Declared {
	if !e.warmup.settings.Enabled {
		return lhpace.Declared{}
	}
	o := t.services[service]
	return lhpace.Declared{
		PerSecond: o.WarmupPerSecond, Overshoot: e.warmup.settings.Overshoot, Slack: e.warmup.settings.Slack, Duration: o.Warmup,
	}
}

// coldPart returns the VM's part of the limit of a server.
func (e *Engine) coldPart(now time.Duration, s *Server, cold *coldState, limit lhpace.Declared) int {
	e.warmup.mu.Lock()
	defer e.warmup.mu.Unlock()
	g := e.warmup.group
	g.Expire(now)
	if !g.Ready(now, now-time.Duration(e.warmup.asOf.Load())) {
		return 0
	}
	if cold.generation != g.Generation() || cold.limit != limit {
		cold.generation, cold.limit, cold.part = g.Generation(), limit, 0
		if rank, count, ok := g.Rank(s.Number, s.DataCentre); ok {
			cold.part = limit.Part(rank, count)
		}
	}
	return cold.part
}

// takeServer chooses the server of a new flow and counts its SYN.
func (e *Engine) takeServer(now time.Duration, id lhflow.ID, p *pool, tried []uint32) *candidate {
	for range maxDraws {
		c := e.chooseServer(now, id, p, tried)
		if c == nil || e.takeSYN(now, c.server) {
			return c
		}
	}
	return nil
}

// takeSYN counts a SYN that is sent to a server, unless a declared limit forbids it.
func (e *Engine) takeSYN(now time.Duration, s *Server) bool {
	if !e.declaredLimit(s.Service).IsSet() {
		return true
	}
	stats := e.statsOf(s)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	if !e.coldAllows(now, s, stats) {
		return false
	}
	if stats.cold != nil && (now < stats.cold.until || stats.failures >= outageFailures) {
		stats.cold.sent.Add(now)
	}
	return true
}
