package lhmark

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

const (
	// slowFraction is the fraction of a route's latency target above which an
	// answer counts as slow. The rest allows for differences between servers.
	slowFraction = 0.75
	// fastFraction is the fraction of the target below which an answer is ignored,
	// because servers that shed load answer at once.
	fastFraction = 0.1
	// limitDecrease and limitIncrease are the factors by which a slow and a timely answer
	// scale the work limit. They balance when a quarter of the answers is slow.
	limitDecrease, limitIncrease = 0.95, 1.0172
	// limitAdjustInterval is the minimum time between adjustments. An answer
	// reflects the limit of some 100 ms earlier.
	limitAdjustInterval = 10 * time.Millisecond
	// requestsPerSlot is the number of requests that a service may have in progress
	// per server slot at the lowest limit: one running, and one or two queued for
	// about as long as one runs.
	requestsPerSlot = 2.5
	// maxServerShares caps the work counted at one server, as a multiple of its share of the
	// limit. Work beyond the cap is waiting for a server that does not answer.
	maxServerShares = 2
	// startupGrace is the time after its start during which a VM throttles nothing. The first
	// packets have already waited for the VM, and their callers would give up.
	startupGrace = 4 * time.Second
	// lastSYNCopy is the number of the last copy of a SYN that a caller sends.
	lastSYNCopy = 2
	// minAdmission is the fraction of SYNs admitted lately below which a SYN is refused at
	// once: most retransmissions would be throttled as well.
	minAdmission = 0.5
	// admissionWeight is the weight of the latest SYN in that fraction.
	admissionWeight = 0.1
)

// MaxLimitFactor is the largest multiple of the lowest work limit, reached while the service
// answers in time. Nothing is throttled at this factor. The range below it compensates for
// VMs that have left but are still counted.
const MaxLimitFactor = 4.0

// admission limits the work in progress at services that answer slowly. Work above
// the limit is dropped, and its caller retransmits it after 200 ms and then at
// longer intervals. Server queues stay short, and the servers answer what they
// accept in time instead of answering everything late.
type admission struct {
	// vms is the number of VMs that share the load. Some of them may have left.
	vms atomic.Int64
	// startedAt is when the VM first knew of a server, in nanoseconds; 0 if it has not yet.
	startedAt atomic.Int64
	// limits holds a *workLimit for each service name, and work a *workLoad for each workKey.
	limits, work sync.Map
	// callers is the use of the services by caller, counted while shares are selected.
	callers lhwork.CallerUse
	// The counters never decrease: units throttled because of the share of their kind, and
	// because their caller uses more than others.
	beyondShare, excessive atomic.Uint64
}

// workLimit is the work limit of a service, as a factor from 1 to MaxLimitFactor.
// The zero value is MaxLimitFactor, at which nothing is throttled.
type workLimit struct {
	mu sync.Mutex
	// throttled is that of the least urgent kind of work.
	throttled throttleRate
	// reduction is subtracted from MaxLimitFactor; from 0 to MaxLimitFactor-1.
	reduction float64
	// adjustedAt is the time of the last adjustment.
	adjustedAt time.Duration
	// shed tells from the answers of the servers whether they shed work.
	shed shedMonitor
	// sharedUntil is the time until which kinds of work and callers share the service, in
	// nanoseconds.
	sharedUntil atomic.Int64
}

// adjust multiplies the factor within its bounds, at most once per
// limitAdjustInterval.
func (l *workLimit) adjust(now time.Duration, multiplier float64) {
	l.change(now, func(factor float64) float64 { return factor * multiplier })
}

// increase increases the factor by a constant amount. With it, the limits of VMs that share
// the load become alike, as a decrease takes more from a higher one.
func (l *workLimit) increase(now time.Duration) {
	l.change(now, func(factor float64) float64 { return factor + limitStep })
}

func (l *workLimit) change(now time.Duration, next func(factor float64) float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now-l.adjustedAt < limitAdjustInterval {
		return
	}
	l.adjustedAt = now
	l.reduction = MaxLimitFactor - min(max(next(MaxLimitFactor-l.reduction), 1), MaxLimitFactor)
}

func (l *workLimit) factor() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return MaxLimitFactor - l.reduction
}

// throttleRate is the fraction of SYNs that were throttled lately. The zero throttleRate is 0.
type throttleRate struct {
	mu       sync.Mutex
	fraction float64
}

// record records whether a SYN is throttled, and reports whether most of them are.
func (t *throttleRate) record(throttled bool) (most bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	outcome := 0.0
	if throttled {
		outcome = 1
	}
	t.fraction += admissionWeight * (outcome - t.fraction)
	return t.fraction > 1-minAdmission
}

// value returns the fraction.
func (t *throttleRate) value() float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fraction
}

// SetVMs sets the number of VMs that share the callers' load; 0 counts as one.
func (e *Engine) SetVMs(n int) { e.admission.vms.Store(int64(n)) }

// markStarted records when servers first became known.
func (a *admission) markStarted(now time.Duration) { a.startedAt.CompareAndSwap(0, max(int64(now), 1)) }

func (a *admission) limit(service string) *workLimit {
	v, ok := a.limits.Load(service)
	if !ok {
		v, _ = a.limits.LoadOrStore(service, new(workLimit))
	}
	return v.(*workLimit)
}

// forget removes what is known of services and kinds of work that a table has no route to. Flows
// in progress keep what they count for.
func (a *admission) forget(t *Table) {
	kinds := make(map[workKey]bool)
	for i := range t.cfg.Routes {
		r := &t.cfg.Routes[i]
		for _, p := range r.TrafficSplit {
			kinds[workKey{p.Service, r.Urgency}] = true
		}
	}
	a.limits.Range(func(service, _ any) bool {
		if _, ok := t.minUrgency[service.(string)]; !ok {
			a.limits.Delete(service)
		}
		return true
	})
	a.work.Range(func(key, _ any) bool {
		if !kinds[key.(workKey)] {
			a.work.Delete(key)
		}
		return true
	})
}

// recordLatency adjusts the work limit of a service by the latency of an answer.
func (a *admission) recordLatency(now time.Duration, route *Route, service string, latency time.Duration) {
	if route == nil || route.TargetLatency == 0 {
		return
	}
	switch fraction := float64(latency) / float64(route.TargetLatency); {
	case fraction > slowFraction:
		a.limit(service).adjust(now, limitDecrease)
	case fraction > fastFraction:
		a.limit(service).adjust(now, limitIncrease)
	}
}

// serverShare returns the VM's share of the work that a server may have in progress
// at the lowest limit.
func (a *admission) serverShare(s *Server) float64 {
	return requestsPerSlot * float64(s.Slots) / float64(max(a.vms.Load(), 1))
}

// overLimit reports whether further work of a route is throttled: the least urgent kind of
// work of a service while the service has as much in progress as its limit, or with shares
// each kind that has its share in progress. Work bound to one server, because its flow is open
// there, is not throttled while that server has less than its share.
func (e *Engine) overLimit(ev *lhflow.Event, t *Table, route *Route, service string, pinned *Server) bool {
	a := &e.admission
	if !e.throttleable(ev.Now, t, route, service) {
		return false
	}
	factor := a.limit(service).factor()
	if factor == MaxLimitFactor || pinned != nil && e.statsOf(pinned).inFlightCount() < factor*a.serverShare(pinned) {
		return false
	}
	inFlight, limit, shared := 0.0, 0.0, e.shares(ev.Now, service)
	for _, s := range t.servingOf(service) {
		share := factor * a.serverShare(s)
		inFlight += min(e.statsOf(s).inFlightCount(), maxServerShares*share+1)
		limit += share
	}
	// Without servers for new flows the limit says nothing about open ones.
	if limit == 0 || !shared {
		return limit > 0 && inFlight >= limit
	}
	// Work at servers that get no new flows, or have restarted since, uses nothing of it.
	counted := min(inFlight/max(e.progress(ev.Now, t, service), 1), 1)
	return e.overShare(ev, t, route, service, limit, counted)
}

// throttleable reports whether work of a route may be throttled. A VM that has just started
// throttles at a shared service: the servers have shed work that it forwarded, and would shed
// urgent work with the rest.
func (e *Engine) throttleable(now time.Duration, t *Table, route *Route, service string) bool {
	if route == nil || route.TargetLatency == 0 {
		return false
	}
	return e.shares(now, service) ||
		route.Urgency <= t.minUrgency[service] && now-time.Duration(e.admission.startedAt.Load()) >= startupGrace
}

// admitSYN reports whether a SYN is throttled, and whether most SYNs of its service lately
// were.
func (e *Engine) admitSYN(ev *lhflow.Event, t *Table, route *Route, service string) (throttled, most bool) {
	if e.throttleable(ev.Now, t, route, service) {
		throttled = e.overLimit(ev, t, route, service, nil)
		most = e.throttleRate(ev.Now, route, service).record(throttled)
	}
	return throttled, most
}

// throttleRate returns the throttle rate of a route's kind of work.
func (e *Engine) throttleRate(now time.Duration, route *Route, service string) *throttleRate {
	if e.shares(now, service) {
		return &e.admission.workLoad(service, route.Urgency).throttled
	}
	return &e.admission.limit(service).throttled
}

// admitRequest reports whether a request on a flow that is open at a server is admitted. The first
// one on a new flow was granted with the flow's SYN.
func (e *Engine) admitRequest(ev *lhflow.Event, t *Table, route *Route, server *Server, r *record) bool {
	if e.overLimit(ev, t, route, server.Service, server) {
		return false
	}
	if !r.granted {
		e.recordGranted(ev)
	}
	r.granted = false
	return true
}

// throttleSYN drops a SYN, which the caller retransmits. It refuses it if nobody would
// retransmit it, or if most retransmissions would be throttled as well, so that the caller
// learns at once that no request has run. It never refuses a SYN of which another VM may
// have forwarded a copy, as the flow may be opening.
func (e *Engine) throttleSYN(ev *lhflow.Event, route *Route, mostThrottled bool, s *shard, r *record) Decision {
	if r.coversCopies(ev) && (mostThrottled || ev.Ack >= lastSYNCopy) {
		if r != nil {
			e.removeFlow(ev.Now, s, ev.Key, r)
		}
		return refuse(lhflow.ReasonRefused, route)
	}
	switch {
	case r == nil && ev.Ack == 0 && e.Len() < e.limits.Flows:
		s.put(ev.Key, &record{isn: ev.Seq, lastSeen: ev.Now})
		e.size.Add(1)
	case r.coversCopies(ev) && r != nil:
		r.synCopy, r.lastSeen = max(r.synCopy, ev.Ack), ev.Now
	}
	d := drop(lhflow.ReasonRefused)
	d.Route = route
	return d
}
