package lhwork

import (
	"math"
	"time"
)

const (
	// halfOpenPart is the part of the flows that may be half-open.
	halfOpenPart = 1.0 / 8
	// halfOpenMin is the least limit of half-open flows.
	halfOpenMin = 256
	// shareSlack is how far the units in work may go above their limit by shares.
	shareSlack = 1.5
	// idlePart is the part of the limit below which the wants leave a service idle:
	// a burst of any kind may then take the whole allowance.
	idlePart = 0.5
	// allowanceStart and allowanceEnd are the wants over a limit between which the
	// allowance for chance falls from whole to none.
	allowanceStart = 1
	allowanceEnd   = 1.6
)

// admit decides on a unit of kind k.
func (p *pool) admit(now time.Duration, k *kind) Reason {
	k.offered.add(now, demandLifetime, 1)
	switch {
	case !p.hasHalfOpen(now, k):
		return ReasonHalfOpen
	case k.full(p.fraction):
		return ReasonKindFlows
	case !p.hasFlows(k):
		return ReasonFlows
	case !p.hasWork(now, k):
		p.limiter.refused = true
		return ReasonWork
	}
	return ReasonNone
}

// hasHalfOpen reports whether another flow of kind k may be half-open. A kind within
// its share of the limit may, however many there are of the others.
func (p *pool) hasHalfOpen(now time.Duration, k *kind) bool {
	limit := p.halfOpenLimit()
	if p.halfOpen.read(now, HandshakeLongest) < limit {
		return true
	}
	return k.halfOpen.read(now, HandshakeLongest) < k.share()*limit
}

// hasFlows reports whether another flow of kind k may be held. Flows can last, so
// room is lent only beyond what the other kinds' shares still need.
func (p *pool) hasFlows(k *kind) bool {
	limit, held := float64(p.flowLimit), p.held-p.aside
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

// hasWork reports whether another unit of kind k may be in work: it is within the
// kind's share, or there is capacity left to lend that the kind may take.
func (p *pool) hasWork(now time.Duration, k *kind) bool {
	completed := p.completion(now)
	_, current := k.load.observe(now, shareLifetime, completed)
	mean, all := p.load.observe(now, workLifetime, completed)
	// Where units wait longer than the limit explains, every kind has more of them
	// in work for the same share of the slots.
	whole := min(max(mean, p.workLimit), shareSlack*p.workLimit)
	if allows(current, k.want, k.share()*whole) {
		return true
	}
	idle := p.want < idlePart*p.workLimit
	return (idle || current < k.grant) && allows(all, p.want, p.workLimit)
}

// allows reports whether a count may grow by one under a limit. Where no more is
// wanted than the limit, the count may go above it by as much as chance explains;
// the allowance shrinks as more is wanted, so that a flood stays at its limit.
func allows(current, want, limit float64) bool {
	if limit <= 0 {
		return false
	}
	allowance := (allowanceEnd - want/limit) / (allowanceEnd - allowanceStart)
	return current < limit+burst(limit)*min(max(allowance, 0), 1)
}

// burst returns how far a count with a mean of x may go above it by chance.
func burst(x float64) float64 { return 2*math.Sqrt(x) + 1 }

func (p *pool) halfOpenLimit() float64 {
	return max(halfOpenPart*float64(p.flowLimit), halfOpenMin)
}
