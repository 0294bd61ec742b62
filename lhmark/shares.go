package lhmark

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// shedDecrease is the factor of an answer by a server that sheds. It balances when one
	// answer in thirteen is shed: callers try again, and hardly any is shed three times.
	shedDecrease = 0.81
	// firstShedDecrease is that of the first such answer.
	firstShedDecrease = 0.5
	// maxScarcity is the fraction of the other callers' units that may be throttled before a
	// caller that uses much more than they do gets nothing more.
	maxScarcity = 0.05
	// excessivePart is the part of a work limit above which a caller that uses much more than
	// others do is throttled.
	excessivePart = 0.5
	// sharedTime is how long a service is shared after its servers have shed work. Callers that
	// were told to come again do so within it.
	sharedTime = 10 * time.Second
	// limitStep is the amount by which a timely answer raises the work limit with shares.
	limitStep = 0.02
)

// share records that the servers of the service shed work. The first time it halves the limit,
// which was far above what the servers take.
func (l *workLimit) share(now time.Duration) {
	decrease := shedDecrease
	if !l.shared(now) {
		decrease = firstShedDecrease
	}
	l.sharedUntil.Store(int64(now + sharedTime))
	l.adjust(now, decrease)
}

// shared reports whether kinds of work and callers share the service, because its servers have
// shed work lately.
func (l *workLimit) shared(now time.Duration) bool { return int64(now) < l.sharedUntil.Load() }

// endSharing resets the limit of a service that is no longer shared. Only timely answers would
// raise it, and those of servers that shed long before an answer is late don't count without
// shares.
func (l *workLimit) endSharing(now time.Duration) {
	until := l.sharedUntil.Load()
	if until == 0 || int64(now) < until || !l.sharedUntil.CompareAndSwap(until, 0) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reduction = 0
}

// endSharing resets the limits of services that are no longer shared.
func (a *admission) endSharing(now time.Duration) {
	a.limits.Range(func(_, l any) bool {
		l.(*workLimit).endSharing(now)
		return true
	})
}

// shares reports whether kinds of work and callers share a service.
func (e *Engine) shares(now time.Duration, service string) bool {
	return e.limits.Shares && e.admission.limit(service).shared(now)
}

// recordLatency adjusts the work limit of a service by the answer to a request of a flow, of which the
// caller has acknowledged a number of bytes.
func (e *Engine) recordLatency(now time.Duration, r *record, d *Decision, size uint32) {
	l, shed, overload := e.admission.limit(d.To.Service), false, false
	if e.limits.Shares && d.Route != nil {
		r.work.recordLatency(r.handshake + d.Latency)
		if shed, overload = l.shed.record(d.Route.Name, r.server, size, l.factor() == MaxLimitFactor); overload {
			l.share(now)
			return
		}
	}
	if !e.shares(now, d.To.Service) {
		e.admission.recordLatency(now, d.Route, d.To.Service, d.Latency)
		return
	}
	switch {
	case shed || d.Route == nil || d.Route.TargetLatency == 0:
	case float64(d.Latency) > slowFraction*float64(d.Route.TargetLatency):
		l.adjust(now, limitDecrease)
	default:
		l.increase(now)
	}
}

// overShare reports whether a unit of work is throttled because its kind has its share of a
// work limit in progress, or because its caller uses much more than others do, of whom some
// are throttled.
func (e *Engine) overShare(ev *lhflow.Event, t *Table, route *Route, service string, limit, counted float64) bool {
	a := &e.admission
	load := a.workLoad(service, route.Urgency)
	if a.callers.Excessive(ev.Now, ev.Key.Caller) {
		if load.scarcity(ev.Now) > maxScarcity || !e.withinShare(ev.Now, t, route, service, excessivePart*limit, 0, counted) {
			a.excessive.Add(1)
			load.recordThrottled(ev.Now)
			return true
		}
		return false
	}
	within := e.withinShare(ev.Now, t, route, service, limit, 1, counted)
	load.recordEven(ev.Now, !within)
	if !within {
		a.beyondShare.Add(1)
		load.recordThrottled(ev.Now)
	}
	return !within
}

// recordGranted records that a unit of work of a caller goes to a server.
func (e *Engine) recordGranted(ev *lhflow.Event) {
	if e.limits.Shares {
		e.admission.callers.Add(ev.Now, ev.Key.Caller)
	}
}
