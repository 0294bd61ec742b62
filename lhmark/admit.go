package lhmark

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// slowPart is the part of a route's latency target from which on the answers of a
	// service are slow: the rest is for the spread between its servers.
	slowPart = 0.75
	// workPerSlot is how many requests a service may have in progress for each slot of
	// its servers while it is slow: one that runs, and one or two that wait for about as
	// long as one runs.
	workPerSlot = 2.5
	// stuckPart is how many times its share of that bound is counted at one server at
	// most. What is there beyond it waits for a server that does not answer.
	stuckPart = 2
	// settleTime is how long after its start a VM holds nothing back: what comes then has
	// waited for it, and callers would give up.
	settleTime = 4 * time.Second
	// quickPart is the part of a route's latency target below which an answer says
	// nothing: servers that shed answer at once.
	quickPart = 0.1
	// delayQuantile is the part of the other answers that take no longer than what is
	// taken for their time, as a few servers may be slow.
	delayQuantile = 0.75
	// slowTime is how long a service counts as slow after it was, so that what had to
	// wait does not come all at once.
	slowTime = time.Second
	// delayStep is the most by which one answer changes that time.
	delayStep = 8 * time.Millisecond
	// lastCopy numbers the copy of a SYN after which the caller sends none.
	lastCopy = 2
)

// admission bounds the work in progress at services that answer slowly. Work beyond the
// bound is dropped on its way, and its caller sends it again 200 ms later and then
// at longer intervals. So servers have short queues and answer in time what they take,
// instead of everything late.
type admission struct {
	// vms is the number of VMs that share the work.
	vms atomic.Int64
	// begun is when the VM first knew of servers, in nanoseconds; 0 for not yet.
	begun atomic.Int64
	// answers holds an *answers for each service by its name.
	answers sync.Map
}

// answers is what is known of a service's answers.
type answers struct {
	// delay is the time in nanoseconds within which most of them come, and slow the time
	// until which the service counts as slow.
	delay, slow atomic.Int64
}

// SetVMs says how many VMs share the callers' work; 0 is one.
func (e *Engine) SetVMs(n int) { e.admission.vms.Store(int64(n)) }

// begin notes that servers are known.
func (a *admission) begin(now time.Duration) { a.begun.CompareAndSwap(0, max(int64(now), 1)) }

func (a *admission) of(service string) *answers {
	v, ok := a.answers.Load(service)
	if !ok {
		v, _ = a.answers.LoadOrStore(service, new(answers))
	}
	return v.(*answers)
}

// answered notes how long an answer of a service took. The quantile rises with each
// answer that took longer and falls with the others, so that it settles where they
// balance.
func (a *admission) answered(route *Route, service string, after time.Duration) {
	if route == nil || float64(after) < quickPart*float64(route.Target) {
		return
	}
	d := &a.of(service).delay
	if int64(after) > d.Load() {
		d.Add(int64(delayQuantile * float64(delayStep)))
	} else {
		d.Add(-int64((1 - delayQuantile) * float64(delayStep)))
	}
}

// isSlow reports whether the service's answers take so long that a route's target is
// at risk.
func (a *admission) isSlow(now time.Duration, service string, route *Route) bool {
	if route.Target == 0 || now-time.Duration(a.begun.Load()) < settleTime {
		return false
	}
	s := a.of(service)
	if float64(s.delay.Load()) > slowPart*float64(route.Target) {
		s.slow.Store(int64(now + slowTime))
	}
	return int64(now) < s.slow.Load()
}

// share returns the VM's share of the work that a server may have in progress.
func (a *admission) share(s *Server) float64 {
	return workPerSlot * float64(s.Slots) / float64(max(a.vms.Load(), 1))
}

// holdsBack reports whether further work of a route has to wait. Of the kinds of work
// that a service has, only the least urgent one waits. Work that must go to one server,
// as its flow is open there, does not wait while that has less than its share.
func (e *Engine) holdsBack(now time.Duration, t *Table, route *Route, service string, only *Server) bool {
	if route == nil || route.Urgency > t.least[service] || !e.admission.isSlow(now, service, route) {
		return false
	}
	if only != nil && e.gauge(only).progress() < e.admission.share(only) {
		return false
	}
	busy, bound := 0.0, 0.0
	for _, s := range t.serving[service] {
		share := e.admission.share(s)
		busy += min(e.gauge(s).progress(), stuckPart*share+1)
		bound += share
	}
	return busy >= bound
}

// holdBack drops a SYN, whose caller sends copies of it. After the last one it is told at
// once that nothing ran.
func holdBack(ev *lhflow.Event, route *Route) Decision {
	if ev.Ack >= lastCopy {
		return refuse(lhflow.ReasonRefused, route)
	}
	d := drop(lhflow.ReasonRefused)
	d.Route = route
	return d
}
