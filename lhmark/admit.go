package lhmark

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// slowPart is the part of a route's latency target from which on an answer is slow: the
	// rest is for the spread between servers.
	slowPart = 0.75
	// quickPart is the part of the target below which an answer says nothing: servers that
	// shed answer at once.
	quickPart = 0.1
	// shrink and grow are what a slow answer and another one make of the room for work. They
	// balance where a quarter of the answers is slow.
	shrink, grow = 0.95, 1.0172
	// changeGap is the least time between answers that change it: an answer tells of the
	// room that there was some 100 ms ago.
	changeGap = 10 * time.Millisecond
	// workPerSlot is how many requests a service may have in progress for each slot of
	// its servers where there is least room: one that runs, and one or two that wait for
	// about as long as one runs.
	workPerSlot = 2.5
	// mostRoom is how many times that a service may have where it answers in time. Nothing
	// is held back then; on the way there the room makes up for VMs that are gone and still
	// counted.
	mostRoom = 4.0
	// stuckPart is how many times its share of that bound is counted at one server at
	// most. What is there beyond it waits for a server that does not answer.
	stuckPart = 2
	// settleTime is how long after its start a VM holds nothing back: what comes then has
	// waited for it, and callers would give up.
	settleTime = 4 * time.Second
	// lastCopy numbers the copy of a SYN after which the caller sends none.
	lastCopy = 2
)

// admission bounds the work in progress at services that answer slowly. Work beyond the
// bound is dropped on its way, and its caller sends it again 200 ms later and then
// at longer intervals. So servers have short queues and answer in time what they take,
// instead of everything late.
type admission struct {
	// vms is the number of VMs that share the work. Some of them may be gone.
	vms atomic.Int64
	// begun is when the VM first knew of servers, in nanoseconds; 0 for not yet.
	begun atomic.Int64
	// rooms holds a *room for each service by its name.
	rooms sync.Map
}

// room is how much work a service may have in progress: from 1, the least, to mostRoom,
// where nothing is held back. The zero room is mostRoom.
type room struct {
	mu sync.Mutex
	// less is what is taken from mostRoom, from 0 to mostRoom-1.
	less float64
	// changed is when that was last changed.
	changed time.Duration
}

// change multiplies the room within its bounds.
func (r *room) change(now time.Duration, by float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now-r.changed < changeGap {
		return
	}
	r.changed = now
	r.less = mostRoom - min(max((mostRoom-r.less)*by, 1), mostRoom)
}

func (r *room) size() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return mostRoom - r.less
}

// SetVMs says how many VMs share the callers' work; 0 is one.
func (e *Engine) SetVMs(n int) { e.admission.vms.Store(int64(n)) }

// begin notes that servers are known.
func (a *admission) begin(now time.Duration) { a.begun.CompareAndSwap(0, max(int64(now), 1)) }

func (a *admission) room(service string) *room {
	v, ok := a.rooms.Load(service)
	if !ok {
		v, _ = a.rooms.LoadOrStore(service, new(room))
	}
	return v.(*room)
}

// answered notes how long an answer of a service took.
func (a *admission) answered(now time.Duration, route *Route, service string, after time.Duration) {
	if route == nil || route.Target == 0 {
		return
	}
	switch part := float64(after) / float64(route.Target); {
	case part > slowPart:
		a.room(service).change(now, shrink)
	case part > quickPart:
		a.room(service).change(now, grow)
	}
}

// share returns the VM's share of the work that a server may have in progress where
// there is least room.
func (a *admission) share(s *Server) float64 {
	return workPerSlot * float64(s.Slots) / float64(max(a.vms.Load(), 1))
}

// holdsBack reports whether further work of a route has to wait. Of the kinds of work
// that a service has, only the least urgent one waits. Work that must go to one server,
// as its flow is open there, does not wait while that has less than its share.
func (e *Engine) holdsBack(now time.Duration, t *Table, route *Route, service string, only *Server) bool {
	a := &e.admission
	if route == nil || route.Target == 0 || route.Urgency > t.least[service] || now-time.Duration(a.begun.Load()) < settleTime {
		return false
	}
	size := a.room(service).size()
	if size == mostRoom || only != nil && e.gauge(only).progress() < size*a.share(only) {
		return false
	}
	busy, bound := 0.0, 0.0
	for _, s := range t.serving[service] {
		share := size * a.share(s)
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
