package lhmark

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Limits are the resource limits of an Engine. A zero field selects its default.
type Limits struct {
	// Flows is the maximum number of flow records.
	Flows int
	// Shares selects whether kinds of work have shares of a service's work limit, and callers
	// an even use of it. Otherwise only the least urgent kind of work is limited.
	Shares bool
	// Probes selects whether servers that leave SYNs and requests unanswered are probed, and
	// their open flows reset if they don't run.
	Probes bool
}

// defaultMaxFlows is the default number of flow records, which take about 4 MB.
const defaultMaxFlows = 30_000

// minRetransmitInterval is the minimum time after which a retransmitted packet shows that the
// first was not answered. Callers retransmit after 200 ms; copies that arrive sooner were
// queued together with the first, for example while this VM was stalled.
const minRetransmitInterval = 150 * time.Millisecond

// Decision is the outcome for one packet.
type Decision struct {
	lhflow.Verdict
	// To is the server of the packet's flow, if there is one.
	To *Server
	// Route is the route of the flow, or nil.
	Route *Route
	// Cost is the load per slot by which the server of a new flow was chosen.
	Cost float64
	// Attempt counts the servers that the flow's SYN was sent to, from 1; 0 for a
	// packet that is not a SYN.
	Attempt int
	// Known is set if the VM had a record of the flow.
	Known bool
	// Unresponsive is the server that left the flow's SYN unanswered before it was
	// sent to another, or nil. Failures is how many SYNs it has left unanswered in a
	// row.
	Unresponsive *Server
	Failures     int
	// Limited is set for a SYN that is refused because the service's servers are cold and have
	// reached their declared limit.
	Limited bool
	// Probe is the server of the flow if it should be probed whether it runs; see RecordProbe.
	Probe *Server
	// Observed is what the packet shows of a server that other VMs should know, if its
	// Evidence is set.
	Observed Observation
	// Recovered is set if the server answers again after leaving SYNs unanswered.
	Recovered bool
	// Latency is how long the server took to answer, for a packet that acknowledges
	// the answer to a SYN (Opened) or to a request (Served).
	Latency        time.Duration
	Opened, Served bool
}

// Engine decides on the packets that one VM receives. It is safe for concurrent use.
type Engine struct {
	dataCentre string
	limits     Limits
	table      atomic.Pointer[Table]
	// current is set while the table is known to be up to date.
	current atomic.Bool
	shards  [shardCount]shard
	size    atomic.Int64
	// stats holds a *serverStats for each server number.
	stats     sync.Map
	admission admission
	speeds    speeds
	detection Detection
	followUps followUps
	// domains holds a *domain for each domainKey.
	domains sync.Map
	warmup  warmup
	// serversEnded is set while TakeEnded has not been called since a server has ended.
	serversEnded atomic.Bool
	// lastAnswer is when a server last answered a SYN or a request, in nanoseconds.
	lastAnswer atomic.Int64
	answered   answeredDataCentres
}

// NewEngine returns an Engine with an empty table for a VM in a data centre.
func NewEngine(dataCentre string, l Limits) *Engine {
	if l.Flows == 0 {
		l.Flows = defaultMaxFlows
	}
	e := &Engine{dataCentre: dataCentre, limits: l}
	e.table.Store(newTable(Config{}, nil, nil, nil))
	return e
}

// SetTable replaces the table. It discards the statistics of servers that have been
// removed or have restarted.
func (e *Engine) SetTable(now time.Duration, t *Table) {
	previous := e.table.Load()
	for _, s := range t.byNumber {
		if old, known := previous.byNumber[s.Number]; !known || old.StartedAt != s.StartedAt {
			e.stats.Store(s.Number, e.newStats(now, s))
		}
	}
	e.stats.Range(func(number, _ any) bool {
		if _, ok := t.byNumber[number.(uint32)]; !ok {
			e.stats.Delete(number)
		}
		return true
	})
	e.setDomains(t)
	e.recordEnded(previous, t)
	if len(t.serving) > 0 {
		e.admission.markStarted(now)
	}
	if t.Revision() != previous.Revision() {
		e.admission.forget(t)
	}
	e.startPaces(now, previous, t)
	e.table.Store(t)
}

// SetCurrent sets whether the table is up to date, so that a route missing from it
// does not exist.
func (e *Engine) SetCurrent(ok bool) { e.current.Store(ok) }

// Table returns the current table.
func (e *Engine) Table() *Table { return e.table.Load() }

// Len returns the number of flow records.
func (e *Engine) Len() int { return int(e.size.Load()) }

// Handle decides on one packet from a caller.
func (e *Engine) Handle(ev *lhflow.Event) Decision {
	t := e.table.Load()
	if t.Revision() == 0 {
		return drop(lhflow.ReasonNoConfig)
	}
	if e.detection.FollowUps {
		e.followUps.recordReceived(ev.Now)
	}
	s := &e.shards[ev.ID.Lo%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(ev.Key)
	if ev.Flags.Has(lhflow.SYN) {
		return e.handleSYN(ev, t, s, r)
	}
	return e.handleNonSYN(ev, t, s, r)
}

func drop(reason lhflow.Reason) Decision {
	return Decision{Verdict: lhflow.Verdict{Reason: reason}}
}

// refuse rejects a SYN, which tells its caller that no request has run.
func refuse(reason lhflow.Reason, route *Route) Decision {
	return Decision{Verdict: lhflow.Verdict{Action: lhflow.Refuse, Reason: reason}, Route: route}
}

// toServer forwards a packet to a server with the server's mark.
func toServer(s *Server) Decision {
	return Decision{Verdict: lhflow.Verdict{Action: lhflow.ToServer, Server: s.Number}, To: s}
}

// handleSYN decides on a SYN. The shard's lock must be held.
func (e *Engine) handleSYN(ev *lhflow.Event, t *Table, s *shard, r *record) Decision {
	route, ok := t.Route(ev.Key)
	switch {
	case !ok && e.current.Load():
		return refuse(lhflow.ReasonNoService, nil)
	case !ok:
		return drop(lhflow.ReasonNoService)
	}
	if r != nil && r.isn == ev.Seq && !r.throttled() {
		return e.handleRetransmittedSYN(ev, t, route, r)
	}
	if r != nil && r.isn != ev.Seq {
		// The caller has reused the port for a new flow.
		e.removeFlow(ev.Now, s, ev.Key, r)
		r = nil
	}
	if e.Len() >= e.limits.Flows {
		e.expire(ev.Now, s, t.idleTimeout())
	}
	service := route.pickService(ev.ID)
	if throttled, most := e.admitSYN(ev, t, route, service); throttled {
		return e.throttleSYN(ev, route, most, s, r)
	}
	chosen := e.takeServer(ev.Now, ev.ID, t.serving[service], nil)
	if chosen == nil {
		d := e.rejectSYN(ev, t, route, service, s, r)
		d.Limited = len(t.servingOf(service)) > 0 && e.declaredLimit(service).IsSet()
		return d
	}
	if r == nil && e.Len() < e.limits.Flows {
		r = &record{isn: ev.Seq}
		s.put(ev.Key, r)
		e.size.Add(1)
	}
	if r != nil {
		r.synCopy, r.lastSeen = ev.Ack, ev.Now
		r.work = e.workOf(service, route)
		r.granted = true
		e.recordSYNSent(ev.Now, r, chosen.server)
		e.awaitFollowUp(ev, r)
	}
	e.recordGranted(ev)
	d := toServer(chosen.server)
	d.Route, d.Cost, d.Attempt = route, chosen.cost, 1
	return d
}

// handleRetransmittedSYN decides on a SYN that this VM has seen before. A copy that
// the caller sent later than the previous one goes to another server. The flow then
// belongs to the server whose answer the caller acknowledges.
func (e *Engine) handleRetransmittedSYN(ev *lhflow.Event, t *Table, route *Route, r *record) Decision {
	if r.state != opening {
		return drop(lhflow.ReasonReuse)
	}
	retransmitted := ev.Ack > r.synCopy && ev.Now-r.sentAt >= minRetransmitInterval
	r.synCopy, r.lastSeen = max(r.synCopy, ev.Ack), ev.Now
	if retransmitted {
		return e.retryOtherServer(ev, t, route, r)
	}
	if server, ok := t.Server(r.server); ok && t.evacuated(server) {
		return e.replaceServer(ev, t, route, r)
	}
	return e.resendSYN(ev.Now, t, route, r)
}

// replaceServer forwards a SYN whose server is not to get it to another one, if there is one.
func (e *Engine) replaceServer(ev *lhflow.Event, t *Table, route *Route, r *record) Decision {
	chosen := e.sendElsewhere(ev, t, route, r)
	if chosen == nil {
		return e.resendSYN(ev.Now, t, route, r)
	}
	d := sendSYN(chosen.server, route, r)
	d.Cost = chosen.cost
	return d
}

// sendElsewhere assigns an opening flow to a server that its SYN was not sent to, and returns
// nil if there is none.
func (e *Engine) sendElsewhere(ev *lhflow.Event, t *Table, route *Route, r *record) *candidate {
	if r.attempts >= maxSYNServers {
		return nil
	}
	chosen := e.takeServer(ev.Now, ev.ID, t.serving[route.pickService(ev.ID)], r.tried[:r.attempts])
	if chosen != nil {
		e.statsByNumber(r.server).adjust(-1, -1)
		e.recordSYNSent(ev.Now, r, chosen.server)
	}
	return chosen
}

// resendSYN forwards a SYN to the server that it was last sent to. It drops the SYN if that server
// may not get it now: the flow may be open there, so that refusing it would be untrue.
func (e *Engine) resendSYN(now time.Duration, t *Table, route *Route, r *record) Decision {
	server, ok := t.Server(r.server)
	if !ok {
		return drop(lhflow.ReasonServerGone)
	}
	d := drop(lhflow.ReasonNoServer)
	d.Route, d.Known = route, true
	switch {
	case t.evacuated(server):
		d.Reason = lhflow.ReasonEvacuated
	case e.takeSYN(now, server):
		return sendSYN(server, route, r)
	}
	return d
}

// sendSYN forwards a SYN to the server of its record.
func sendSYN(server *Server, route *Route, r *record) Decision {
	d := toServer(server)
	d.Route, d.Attempt, d.Known = route, int(r.attempts), true
	return d
}

// retryOtherServer forwards an unanswered SYN to another server, if there is one.
func (e *Engine) retryOtherServer(ev *lhflow.Event, t *Table, route *Route, r *record) Decision {
	stats := e.statsByNumber(r.server)
	unresponsive, _ := t.Server(r.server)
	failures, isolated := stats.recordUnanswered(ev.Now), e.isolatedSince(r.sentAt)
	stats.domain.recordFailure(domainFailure{server: r.server, sentAt: r.sentAt}, ev.Now, true)
	d := e.replaceServer(ev, t, route, r)
	d.Unresponsive, d.Failures = unresponsive, failures
	if unresponsive != nil && !isolated {
		d.Observed = Observation{Server: unresponsive.Number, Evidence: UnansweredSYN, Failures: failures, At: ev.Now}
	}
	return d
}

// recordSYNSent records that the flow's SYN is sent to a server.
func (e *Engine) recordSYNSent(now time.Duration, r *record, s *Server) {
	r.setInFlight(now, false)
	r.server, r.sentAt = s.Number, now
	r.setInFlight(now, true)
	r.tried[r.attempts] = s.Number
	r.attempts++
	e.statsOf(s).recordSYN(now)
}

// isolatedSince reports whether no server has answered this VM since a time. A server that
// does not answer then may be out of reach of this VM only.
func (e *Engine) isolatedSince(at time.Duration) bool { return time.Duration(e.lastAnswer.Load()) < at }

// recordAnyAnswer records that a server has answered a SYN or a request.
func (e *Engine) recordAnyAnswer(now time.Duration, s *Server) {
	e.lastAnswer.Store(int64(now))
	if e.limits.Probes {
		e.answered.record(s.DataCentre, now)
	}
}

// clearInFlight records that a flow has no SYN or request in progress.
func (e *Engine) clearInFlight(now time.Duration, stats *serverStats, r *record) {
	if r.inFlight {
		r.setInFlight(now, false)
		stats.adjust(0, -1)
	}
}

// removeFlow removes the record of a flow. The shard's lock must be held.
func (e *Engine) removeFlow(now time.Duration, s *shard, key lhflow.Key, r *record) {
	stats := e.statsByNumber(r.server)
	e.clearInFlight(now, stats, r)
	stats.adjust(-1, 0)
	delete(s.records, key)
	e.size.Add(-1)
}

// Expire removes the records of flows from which no more packets are expected.
func (e *Engine) Expire(now time.Duration) {
	idle := e.table.Load().idleTimeout()
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		e.expire(now, s, idle)
		s.mu.Unlock()
	}
	e.admission.callers.Refresh(now)
	e.admission.endSharing(now)
}

func (e *Engine) expire(now time.Duration, s *shard, idle time.Duration) {
	for key, r := range s.records {
		if r.expired(now, idle) {
			e.removeFlow(now, s, key, r)
		}
	}
}

// idleTimeout returns the silence after which the record of an open flow is removed.
func (t *Table) idleTimeout() time.Duration {
	if t.cfg.IdleTimeout > 0 {
		return t.cfg.IdleTimeout
	}
	return defaultIdleTimeout
}

// statsOf returns the statistics of a server.
func (e *Engine) statsOf(s *Server) *serverStats { return e.statsByNumber(s.Number) }

func (e *Engine) statsByNumber(number uint32) *serverStats {
	if stats, ok := e.stats.Load(number); ok {
		return stats.(*serverStats)
	}
	// The server is not in the current table, so its statistics are discarded.
	return &serverStats{}
}
