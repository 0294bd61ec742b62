package lhwork

import (
	"math"
	"time"
)

const (
	// refreshPeriod is the interval at which weights, limits and grants are
	// recomputed.
	refreshPeriod = 20 * time.Millisecond
	// spilloverFill is the fill level of nearby servers at which flows spill over to
	// others.
	spilloverFill = 0.8
	// maxDemandFactor caps the demand of a kind, relative to the limit, so that a
	// flood has no lasting effect.
	maxDemandFactor = 3
	// initialLatency is the latency assumed until the first sample.
	initialLatency = 50 * time.Millisecond
)

// refresh recomputes weights, limits and grants once a period.
func (p *pool) refresh(now time.Duration, fraction *sharedFraction) {
	if !p.stale && p.refreshed != 0 && now-p.refreshed < refreshPeriod {
		return
	}
	p.refreshed, p.stale = max(now, 1), false
	p.fraction = fraction.read(now)
	p.updateLimits(now)
	p.updateWeights(now)
	p.updateGrants(now)
}

// updateWeights computes the weights of the servers and their shares of this VM's
// flows.
func (p *pool) updateWeights(now time.Duration) {
	planned, weight := 0.0, 0.0
	for i, s := range p.servers {
		s.updateWeight(now)
		s.flowShare = s.effectiveWeight * p.plan[i]
		planned += s.flowShare
		weight += s.effectiveWeight
	}
	if planned == 0 {
		return
	}
	for _, s := range p.servers {
		s.flowShare /= planned
	}
	degree := p.spillover(weight)
	for _, s := range p.servers {
		s.flowShare += (s.effectiveWeight/weight - s.flowShare) * degree
	}
}

// spillover returns how far the flow shares must move from the plan to the servers'
// weights, from 0 to 1, so that the open flows stay below each server's limit. The
// plan prefers nearby servers, of which each VM may use only its own fraction.
func (p *pool) spillover(weight float64) float64 {
	degree, held := 0.0, float64(p.held-p.drainingHeld)
	for _, s := range p.servers {
		evenShare := s.effectiveWeight / weight
		excess := s.flowShare*held - spilloverFill*float64(s.limit)
		if excess > 0 && s.flowShare > evenShare {
			degree = max(degree, excess/(held*(s.flowShare-evenShare)))
		}
	}
	return min(degree, 1)
}

// updateLimits computes the concurrency limit and the flow limits.
func (p *pool) updateLimits(now time.Duration) {
	concurrency, slots := 0.0, 0.0
	p.flowLimit, p.drainingHeld = 0, p.held
	for _, s := range p.servers {
		s.limit = math.MaxInt32
		if s.declared.Flows() > 0 {
			s.limit = scaleLimit(s.declared.Flows(), p.fraction)
		}
		if s.declared.Serving() {
			concurrency += s.concurrency(now)
			slots += float64(s.declared.Slots())
			p.flowLimit += s.limit
			p.drainingHeld -= s.held
		}
	}
	p.slots = slots * p.fraction
	mean, _ := p.load.observe(now, inFlightAverageTime, p.completionRate(now))
	p.limiter.adjust(now, mean/max(p.slots, 1e-9))
	p.concurrencyLimit = concurrency * p.fraction * p.limiter.scale()
}

// updateGrants divides the concurrency limit among the kinds by their demand.
func (p *pool) updateGrants(now time.Duration) {
	latency := p.limiter.meanLatency
	if latency == 0 {
		latency = initialLatency
	}
	p.demand = 0
	for i, k := range p.kinds {
		k.demand = k.estimateDemand(now, latency, maxDemandFactor*p.concurrencyLimit)
		p.claims[i] = Claim{Share: k.share(), Urgency: k.urgency(), Demand: k.demand}
		p.demand += k.demand
	}
	Allocate(p.concurrencyLimit, p.claims)
	idle := max(p.concurrencyLimit-p.demand, 0)
	for i, k := range p.kinds {
		k.grant = p.claims[i].Grant + idle
	}
}
