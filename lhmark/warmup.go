package lhmark

import (
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpace"
)

// outageFailures is the number of SYNs in a row that a server leaves unanswered if it is not
// just packets that were lost. It may have restarted when it answers again.
const outageFailures = 2

// warmup is what an Engine knows about servers that are cold, apart from their statistics.
type warmup struct {
	settings lhpace.Settings
	// mu guards group.
	mu    sync.Mutex
	group *lhpace.Group
	// asOf is the time as of which the state of the store is known, in nanoseconds.
	asOf atomic.Int64
	// usual holds a *usualLatency for each route name.
	usual sync.Map
	// log receives what is worth a line.
	log func(WarmupEvent)
	// newPace returns the pace of a server that begins and says how long it stays cold.
	newPace func(now, warmup time.Duration) pacer
}

// pacer is the pace of a server.
type pacer interface {
	// Part returns the part of its usual new flows that the server may get; lhpace.Full at the
	// end.
	Part(now time.Duration) float64
	// Answered records an answer that took a ratio of the usual time, and reports whether
	// other VMs should take it for Slow.
	Answered(now time.Duration, ratio float64) bool
	Slow(now time.Duration) bool
}

// usualLatency is a Usual for concurrent use.
type usualLatency struct {
	mu    sync.Mutex
	usual lhpace.Usual
}

// WarmupEvent is a change of what is known of a server that is cold.
type WarmupEvent struct {
	Server *Server
	// Cause is why the server's pace begins; empty if it is full.
	Cause string
}

// SetWarmup puts settings into force, before the Engine is used. Unless they are enabled, the cost of
// a cold server is multiplied by a fixed factor. The function log, which must
// not call the Engine, receives each change of a server's pace; nil for none.
func (e *Engine) SetWarmup(s lhpace.Settings, log func(WarmupEvent)) {
	e.warmup.settings, e.warmup.group, e.warmup.log = s, lhpace.NewGroup(s.Self), log
	e.warmup.newPace = func(now, _ time.Duration) pacer { return lhpace.NewPace(now) }
}

// newStats returns the statistics of a server that has become known.
func (e *Engine) newStats(now time.Duration, s *Server) *serverStats {
	stats := &serverStats{knownSince: now, domain: e.domainOf(s)}
	switch {
	case !e.warmup.settings.Enabled:
		stats.warmAt = now + s.Warmup
	case s.Warmup > 0:
		stats.cold = &coldState{until: now + s.Warmup, sequence: s.Sequence}
	}
	return stats
}

// startPaces begins the pace of the servers that take new flows in a table but did not in
// the previous one. When a VM gets its first servers of a service, those that are warm have
// their flows already.
func (e *Engine) startPaces(now time.Duration, previous, t *Table) {
	if !e.warmup.settings.Enabled {
		return
	}
	for service, p := range t.serving {
		old, limit := previous.servingOf(service), e.limitIn(t, service)
		if len(old) == 0 {
			for _, s := range p.servers {
				if e.Warmup(now, s.Number) > 0 {
					e.startPace(now, s, limit, "cold")
				}
			}
			continue
		}
		for _, s := range p.servers {
			for len(old) > 0 && before(old[0], s) {
				old = old[1:]
			}
			if len(old) == 0 || old[0] != s && (old[0].Name != s.Name || old[0].StartedAt != s.StartedAt) {
				e.startPace(now, s, limit, "new")
			}
		}
	}
}

// before reports whether a server comes before another one in a pool.
func before(a, b *Server) bool {
	if a == b {
		return false
	}
	if order := strings.Compare(a.DataCentre, b.DataCentre); order != 0 {
		return order < 0
	}
	return a.Name < b.Name
}

// startPace begins the pace of a server.
func (e *Engine) startPace(now time.Duration, s *Server, limit lhpace.Declared, cause string) {
	stats := e.statsOf(s)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	e.begin(now, s, stats, limit, cause)
}

// begin has a server count as cold for as long as is declared, whatever it reports, and begins
// its pace. The lock of its statistics must be held.
func (e *Engine) begin(now time.Duration, s *Server, stats *serverStats, limit lhpace.Declared, cause string) {
	if limit.IsSet() {
		stats.countAsCold(now + limit.Duration)
		stats.cold.least = now + limit.Duration
	}
	stats.pace = e.warmup.newPace(now, s.Warmup)
	e.logPace(WarmupEvent{Server: s, Cause: cause})
}

func (e *Engine) logPace(ev WarmupEvent) {
	if e.warmup.log != nil {
		e.warmup.log(ev)
	}
}

// answersAgain begins the pace of a server that answers after an outage, at which it may have
// started again. The lock of its statistics must be held, and its failures still be set.
func (e *Engine) answersAgain(now time.Duration, number uint32, stats *serverStats) {
	if !e.warmup.settings.Enabled || stats.failures < outageFailures {
		return
	}
	if s, ok := e.table.Load().Server(number); ok {
		e.begin(now, s, stats, e.declaredLimit(s.Service), "answers again")
	}
}

// recordAnswerTime has the pace of a server follow an answer, and reports whether the answer
// slows it, which other VMs should know.
func (e *Engine) recordAnswerTime(now time.Duration, stats *serverStats, d *Decision) bool {
	if !e.warmup.settings.Enabled || d.Route == nil {
		return false
	}
	v, ok := e.warmup.usual.Load(d.Route.Name)
	if !ok {
		v, _ = e.warmup.usual.LoadOrStore(d.Route.Name, new(usualLatency))
	}
	usual := v.(*usualLatency)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	usual.mu.Lock()
	defer usual.mu.Unlock()
	if stats.pace == nil {
		usual.usual.Record(d.Latency)
		return false
	}
	return stats.pace.Answered(now, usual.usual.Ratio(d.Latency, d.Route.TargetLatency))
}

// pacedPart returns the part of its usual new flows that a server may get: 0 if its declared
// limit is reached. The lock of its statistics must be held.
func (e *Engine) pacedPart(now time.Duration, s *Server, stats *serverStats) float64 {
	if stats.pace == nil && stats.failures < outageFailures && (stats.cold == nil || stats.cold.until <= now) {
		return lhpace.Full
	}
	if !e.coldAllows(now, s, stats) {
		return 0
	}
	if stats.pace == nil {
		return lhpace.Full
	}
	part := stats.pace.Part(now)
	if part >= lhpace.Full {
		stats.pace = nil
		e.logPace(WarmupEvent{Server: s})
	}
	return part
}

// paceSalt makes the point of a flow independent of its other ranks.
const paceSalt = 0x70616365 << 16

// limited reports whether a server gets no flow for which a number of other servers are
// already compared with it, as only a part of the flows is for it. One that is compared with
// none gets no more than its usual part. The same flows are left to other servers at each
// paced server, so that a data centre whose servers are all paced gets its part as well.
func (r *rating) limited(id lhflow.ID, tried, compared int) bool {
	part := r.part - float64(compared)
	return part < 1 && float64(uint32(lhflow.Rank(id, paceSalt+uint64(tried)))) >= part*(1<<32)
}
