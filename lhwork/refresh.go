package lhwork

import (
	"math"
	"time"
)

const (
	// refreshPeriod is the time between two looks at weights, limits and grants.
	refreshPeriod = 20 * time.Millisecond
	// spilloverFill is how full servers nearby get before flows are spread further.
	spilloverFill = 0.8
	// maxDemandFactor bounds what a kind wants, over the limit, so that a flood is soon
	// forgotten.
	maxDemandFactor = 3
	// initialLatency stands for the answer time until one was seen.
	initialLatency = 50 * time.Millisecond
)

// refresh computes weights, limits and grants once a period.
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

// updateWeights computes the weights of the servers and their parts of this VM's flows.
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
	spread := p.spillover(weight)
	for _, s := range p.servers {
		s.flowShare += (s.effectiveWeight/weight - s.flowShare) * spread
	}
}

// spillover returns how far the parts must go from the plan to the servers' weights,
// from 0 to 1, so that the flows held leave room below each server's limit. The
// plan fills the servers nearby, of which each VM may fill its part alone.
func (p *pool) spillover(weight float64) float64 {
	spread, held := 0.0, float64(p.held-p.drainingHeld)
	for _, s := range p.servers {
		evenShare := s.effectiveWeight / weight
		excess := s.flowShare*held - spilloverFill*float64(s.limit)
		if excess > 0 && s.flowShare > evenShare {
			spread = max(spread, excess/(held*(s.flowShare-evenShare)))
		}
	}
	return min(spread, 1)
}

// updateLimits computes the updateLimits of units in work and of flows.
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

// updateGrants divides the limit of units in work among the kinds by their demand.
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
