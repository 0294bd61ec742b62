package lhwork

import (
	"math"
	"time"
)

const (
	// refreshPeriod is the time between two looks at weights, limits and grants.
	refreshPeriod = 20 * time.Millisecond
	// spreadFill is how full servers nearby get before flows are spread further.
	spreadFill = 0.8
	// wantMost bounds what a kind wants, over the limit, so that a flood is soon
	// forgotten.
	wantMost = 3
	// answerUnknown stands for the answer time until one was seen.
	answerUnknown = 50 * time.Millisecond
)

// refresh computes weights, limits and grants once a period.
func (p *pool) refresh(now time.Duration, part *sharedPart) {
	if !p.stale && p.refreshed != 0 && now-p.refreshed < refreshPeriod {
		return
	}
	p.refreshed, p.stale = max(now, 1), false
	p.fraction = part.read(now)
	p.limits(now)
	p.weigh(now)
	p.grants(now)
}

// weigh computes the weights of the servers and their parts of this VM's flows.
func (p *pool) weigh(now time.Duration) {
	planned, room := 0.0, 0.0
	for i, s := range p.servers {
		s.weigh(now)
		s.part = s.room * p.plan[i]
		planned += s.part
		room += s.room
	}
	if planned == 0 {
		return
	}
	for _, s := range p.servers {
		s.part /= planned
	}
	spread := p.spread(room)
	for _, s := range p.servers {
		s.part += (s.room/room - s.part) * spread
	}
}

// spread returns how far the parts must go from the plan to the servers' weights,
// from 0 to 1, so that the flows held leave room below each server's limit. The
// plan fills the servers nearby, of which each VM may fill its part alone.
func (p *pool) spread(room float64) float64 {
	spread, held := 0.0, float64(p.held-p.aside)
	for _, s := range p.servers {
		even := s.room / room
		excess := s.part*held - spreadFill*float64(s.limit)
		if excess > 0 && s.part > even {
			spread = max(spread, excess/(held*(s.part-even)))
		}
	}
	return min(spread, 1)
}

// limits computes the limits of units in work and of flows.
func (p *pool) limits(now time.Duration) {
	work, slots := 0.0, 0.0
	p.flowLimit, p.aside = 0, p.held
	for _, s := range p.servers {
		s.limit = math.MaxInt32
		if s.declared.Flows() > 0 {
			s.limit = partOf(s.declared.Flows(), p.fraction)
		}
		if s.declared.Serving() {
			work += s.work(now)
			slots += float64(s.declared.Slots())
			p.flowLimit += s.limit
			p.aside -= s.held
		}
	}
	p.slots = slots * p.fraction
	mean, _ := p.load.observe(now, workLifetime, p.completion(now))
	p.limiter.adjust(now, mean/max(p.slots, 1e-9))
	p.workLimit = work * p.fraction * p.limiter.scale()
}

// grants divides the limit of units in work among the kinds by their demand.
func (p *pool) grants(now time.Duration) {
	answer := p.limiter.answer
	if answer == 0 {
		answer = answerUnknown
	}
	p.want = 0
	for i, k := range p.kinds {
		k.want = k.demand(now, answer, wantMost*p.workLimit)
		p.claims[i] = Claim{Share: k.share(), Urgency: k.urgency(), Want: k.want}
		p.want += k.want
	}
	Divide(p.workLimit, p.claims)
	idle := max(p.workLimit-p.want, 0)
	for i, k := range p.kinds {
		k.grant = p.claims[i].Grant + idle
	}
}
