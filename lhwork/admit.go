package lhwork

import (
	"math"
	"time"
)

const (
	// halfOpenFraction is the fraction of the flow limit that may be half-open.
	halfOpenFraction = 1.0 / 8
	// minHalfOpenLimit is the lower bound of the limit of half-open flows.
	minHalfOpenLimit = 256
	// maxShareScale limits the units in flight admitted under shares, relative to
	// the concurrency limit.
	maxShareScale = 1.5
	// idleFraction is the demand, relative to the concurrency limit, below which a
	// service counts as idle. A burst of any kind may then use the whole allowance.
	idleFraction = 0.5
	// fullAllowanceRatio and noAllowanceRatio are the ratios of demand to limit
	// between which the allowance for random variation decreases from full to none.
	fullAllowanceRatio = 1
	noAllowanceRatio   = 1.6
)

// admit decides on a unit of kind k.
func (p *pool) admit(now time.Duration, k *kind) Reason {
	k.offered.Add(now, demandDecayTime, 1)
	switch {
	case !p.allowsHalfOpen(now, k):
		return ReasonHalfOpen
	case k.atFlowLimit(p.fraction):
		return ReasonKindFlows
	case !p.allowsFlow(k):
		return ReasonFlows
	case !p.allowsInFlight(now, k):
		p.limiter.refused = true
		return ReasonWork
	}
	return ReasonNone
}

// allowsHalfOpen reports whether another flow of kind k may be half-open. A kind
// within its share of the limit is allowed regardless of the other kinds.
func (p *pool) allowsHalfOpen(now time.Duration, k *kind) bool {
	limit := p.halfOpenLimit()
	if p.halfOpen.Read(now, MaxHandshakeTimeout) < limit {
		return true
	}
	return k.halfOpen.Read(now, MaxHandshakeTimeout) < k.share()*limit
}

// allowsFlow reports whether another flow of kind k may be opened. Since flows can
// be long-lived, room is lent only beyond what the other kinds' shares still need.
func (p *pool) allowsFlow(k *kind) bool {
	limit, held := float64(p.flowLimit), p.held-p.drainingHeld
	if float64(k.held) < k.share()*limit {
		return held < p.flowLimit
	}
	reserved := 0.0
	for _, other := range p.kinds {
		if other != k {
			reserved += max(other.share()*limit-float64(other.held), 0)
		}
	}
	return float64(held)+reserved < limit
}

// allowsInFlight reports whether another unit of kind k may be in flight: the kind
// is within its share, or there is capacity left to lend that the kind may use.
func (p *pool) allowsInFlight(now time.Duration, k *kind) bool {
	completion := p.completionRate(now)
	_, current := k.load.observe(now, shareAverageTime, completion)
	mean, all := p.load.observe(now, inFlightAverageTime, completion)
	// Where units wait longer than the limit explains, each kind has more units in
	// flight for the same share of the slots.
	effectiveLimit := min(max(mean, p.concurrencyLimit), maxShareScale*p.concurrencyLimit)
	if belowLimit(current, k.demand, k.share()*effectiveLimit) {
		return true
	}
	idle := p.demand < idleFraction*p.concurrencyLimit
	return (idle || current < k.grant) && belowLimit(all, p.demand, p.concurrencyLimit)
}

// belowLimit reports whether a count may be incremented under a limit. While demand
// doesn't exceed the limit, the count may exceed it by random variation. The
// allowance decreases with rising demand, so that a flood is held to the limit.
func belowLimit(current, demand, limit float64) bool {
	if limit <= 0 {
		return false
	}
	allowance := (noAllowanceRatio - demand/limit) / (noAllowanceRatio - fullAllowanceRatio)
	return current < limit+burstMargin(limit)*min(max(allowance, 0), 1)
}

// burstMargin returns how far a count with mean x may exceed it by random variation.
func burstMargin(x float64) float64 { return 2*math.Sqrt(x) + 1 }

func (p *pool) halfOpenLimit() float64 {
	return max(halfOpenFraction*float64(p.flowLimit), minHalfOpenLimit)
}
