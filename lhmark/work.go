package lhmark

import (
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// workKey identifies a kind of work: the routes to a service with one urgency.
type workKey struct {
	service string
	urgency lhconf.Urgency
}

// workLoad is what a VM has in progress of one kind of work.
type workLoad struct {
	// throttled is the fraction of SYNs that were throttled, and scarce that of the units of
	// callers who don't use more than others.
	throttled, scarce throttleRate
	mu                sync.Mutex
	// inFlight counts the flows with a SYN or request that has been unanswered for less than
	// inFlightTime.
	inFlight lhwork.Window
	// throttles counts the units that were throttled lately, and latency is the mean time for
	// which a unit is in progress.
	throttles lhwork.DecayingCounter
	latency   time.Duration
	// evenAt is the time of the latest unit of a caller who doesn't use more than others.
	evenAt time.Duration
	// mean is the mean of the units in progress and those that would be.
	mean lhwork.MovingAverage
}

// demandTime is the time constant of the mean demand of a kind of work: some requests long, so
// that chance does not count, and short against a flood.
const demandTime = time.Second

// scarcityTime is how long after their latest unit callers count as throttled: they retransmit
// a SYN within it.
const scarcityTime = 2 * time.Second

// latencyWeight is the weight of the latest answer in the mean latency of a kind of work.
const latencyWeight = 1. / 32

// inFlightTime is how long a unit without an answer counts as in progress. Servers that reset a
// flow, or are gone, answer past the VM, whose record of the flow stays much longer.
const inFlightTime = time.Second

// progress returns the number of units in progress.
func (w *workLoad) progress(now time.Duration) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.inFlight.Read(now, inFlightTime)
}

// demand returns the work that the kind would have in progress on average if none were
// throttled.
func (w *workLoad) demand(now time.Duration) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.mean.Observe(now, demandTime, w.inFlight.Read(now, inFlightTime)+w.throttles.Rate(now, demandTime)*w.latency.Seconds())
}

// recordThrottled records a unit that was throttled.
func (w *workLoad) recordThrottled(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.throttles.Add(now, demandTime, 1)
}

// recordEven records a unit of a caller who doesn't use more than others.
func (w *workLoad) recordEven(now time.Duration, throttled bool) {
	w.scarce.record(throttled)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evenAt = max(w.evenAt, now)
}

// scarcity returns the fraction of the units of callers who don't use more than others that were
// throttled lately, or 0 if these callers send none.
func (w *workLoad) scarcity(now time.Duration) float64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now-w.evenAt > scarcityTime {
		return 0
	}
	return w.scarce.value()
}

// recordLatency records how long a unit was in progress. A nil workLoad records nothing.
func (w *workLoad) recordLatency(latency time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.latency == 0 {
		w.latency = latency
	}
	w.latency += time.Duration(latencyWeight * float64(latency-w.latency))
}

// begin records that a unit begins. A nil workLoad counts nothing.
func (w *workLoad) begin(now time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight.Add(now, inFlightTime)
}

// end records that a unit ends that began at some time, unless it counts no longer.
func (w *workLoad) end(now, began time.Duration) {
	if w == nil || now-began >= inFlightTime {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight.Remove(now, inFlightTime)
}

// workOf returns the load that the work of a route counts for, or nil if the Engine does not count
// it.
func (e *Engine) workOf(service string, route *Route) *workLoad {
	if !e.limits.Shares || route == nil {
		return nil
	}
	return e.admission.workLoad(service, route.Urgency)
}

// progress returns what is in progress of all kinds of work that share a service, wherever.
func (e *Engine) progress(now time.Duration, t *Table, service string) float64 {
	sum := 0.0
	for _, u := range t.urgencies[service] {
		sum += e.admission.workLoad(service, u).progress(now)
	}
	return sum
}

// workLoad returns the load of a route's kind of work at a service.
func (a *admission) workLoad(service string, urgency lhconf.Urgency) *workLoad {
	key := workKey{service, urgency}
	v, ok := a.work.Load(key)
	if !ok {
		v, _ = a.work.LoadOrStore(key, new(workLoad))
	}
	return v.(*workLoad)
}

// guaranteedPart is the part of a service's work limit that its kinds of work share evenly,
// whatever their urgency. The rest, and what a kind does not use, goes to the most urgent.
const guaranteedPart = 0.5

// withinShare reports whether a kind of work may have one more unit in progress at a service,
// given the service's work limit. Of what is in progress, the fraction counted uses that limit.
// The kind may have at least a number of units in progress, whatever its share. A kind whose mean
// demand is granted is not limited when more of its units than usual come at once.
func (e *Engine) withinShare(now time.Duration, t *Table, route *Route, service string, limit, least, counted float64) bool {
	urgencies := t.urgencies[service]
	var buffer [maxClaims]lhwork.Claim
	claims, own := buffer[:0], -1
	for i, u := range urgencies[:min(len(urgencies), maxClaims)] {
		if u == route.Urgency {
			own = i
		}
		claims = append(claims, lhwork.Claim{
			Share:   guaranteedPart / float64(len(urgencies)),
			Urgency: uint8(u),
			Demand:  counted * e.admission.workLoad(service, u).demand(now),
		})
	}
	if own < 0 {
		return true
	}
	lhwork.Allocate(limit, claims)
	grant := max(claims[own].Grant, least)
	inFlight := counted * e.admission.workLoad(service, route.Urgency).progress(now)
	if claims[own].Demand <= claims[own].Grant {
		return inFlight <= burstFactor*grant
	}
	return inFlight+1 <= grant
}

// burstFactor is the multiple of its grant that a kind of work may have in progress at some
// moment while its mean demand is granted.
const burstFactor = 4

// maxClaims is the number of kinds of work of a service that are told apart; the others are
// not limited by shares.
const maxClaims = 16
