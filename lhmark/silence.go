package lhmark

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// probePause is the minimum time between two probes of a server by this VM.
	probePause = 500 * time.Millisecond
	// silenceTime is how long a server whose probes have failed counts as silent, unless it
	// answers before: less than a server that starts again takes.
	silenceTime = time.Second
)

// silence is what probes have shown of a server that leaves SYNs and requests unanswered. The
// lock of its serverStats must be held.
type silence struct {
	// probedAt is when the latest probe began, and silentAt when the latest one began that
	// failed; 0 for none.
	probedAt, silentAt time.Duration
}

// answeredDataCentres holds, by data centre, when a server there last answered this VM. The
// zero value holds none.
type answeredDataCentres struct{ byName sync.Map }

func (a *answeredDataCentres) record(dataCentre string, now time.Duration) {
	v, ok := a.byName.Load(dataCentre)
	if !ok {
		v, _ = a.byName.LoadOrStore(dataCentre, new(atomic.Int64))
	}
	v.(*atomic.Int64).Store(int64(now))
}

// since reports whether a server of a data centre has answered after a time.
func (a *answeredDataCentres) since(dataCentre string, at time.Duration) bool {
	v, ok := a.byName.Load(dataCentre)
	return ok && time.Duration(v.(*atomic.Int64).Load()) > at
}

// isRetransmission reports whether a packet repeats the request in progress, which has not been
// answered.
func (r *record) isRetransmission(ev *lhflow.Event) bool {
	return r.state == open && r.inFlight && ev.Data > 0 && ev.Now-r.sentAt >= minRetransmitInterval &&
		int32(ev.Seq+uint32(ev.Data)-r.nextSeq) <= 0 && ev.Ack == r.requestAck
}

// handleRetransmittedRequest decides on a request that its server has not answered. The server
// may have requests waiting and hold as many flows as it can, so that it leaves SYNs unanswered
// as well: only a probe tells it from one that is gone. If the probe fails while other servers of
// its data centre answer this VM, the flow of a request that may be repeated is reset, so that
// its caller repeats the request at another server instead of waiting until its deadline.
func (e *Engine) handleRetransmittedRequest(ev *lhflow.Event, d *Decision) {
	if !e.limits.Probes || d.Route == nil || !d.Route.Idempotent {
		return
	}
	stats := e.statsOf(d.To)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	if !e.mayBeGone(d.To, stats) {
		return
	}
	if stats.isSilent(ev.Now) {
		d.Verdict = lhflow.Verdict{Action: lhflow.Reset, Reason: lhflow.ReasonSilent}
		return
	}
	q := &stats.silence
	if q.probedAt == 0 || ev.Now-q.probedAt >= probePause {
		q.probedAt = ev.Now
		d.Probe = d.To
	}
}

// mayBeGone reports whether a server has answered nothing since it left a SYN unanswered, while
// others of its data centre answer this VM. The lock of its statistics must be held.
func (e *Engine) mayBeGone(s *Server, stats *serverStats) bool {
	return stats.failures > 0 && stats.lastAlive < stats.firstFailure && e.answered.since(s.DataCentre, stats.firstFailure)
}

// isSilent reports whether a probe of the server has failed lately, and nothing has answered since.
// The lock must be held.
func (s *serverStats) isSilent(now time.Duration) bool {
	at := s.silence.silentAt
	return at > 0 && at > s.lastAlive && now-at < silenceTime
}

// TakeSilent removes and returns the flows with a request in progress at a server whose probe has
// failed, as the packets to be answered by a reset. Requests that were not due to be retransmitted
// yet are left alone.
func (e *Engine) TakeSilent(now time.Duration, number uint32) []lhflow.Event {
	t := e.table.Load()
	server, ok := t.Server(number)
	if !ok || !e.limits.Probes {
		return nil
	}
	stats := e.statsOf(server)
	stats.mu.Lock()
	silent := e.mayBeGone(server, stats) && stats.isSilent(now)
	stats.mu.Unlock()
	if !silent {
		return nil
	}
	return e.takeInProgress(now, t, func(r *record) bool {
		return r.server == number && now-r.sentAt >= minRetransmitInterval
	})
}

// RecordProbe records the result of a probe of a server that began at some time: whether its
// host accepts connections.
func (e *Engine) RecordProbe(began time.Duration, number uint32, reachable bool) {
	stats := e.statsByNumber(number)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	if reachable {
		stats.lastAlive = max(stats.lastAlive, began)
		return
	}
	stats.silence.silentAt = max(stats.silence.silentAt, began, 1)
}
