package lhwork

import (
	"math"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// refreshPeriod is the time between two looks at weights, limits and grants.
	refreshPeriod = 20 * time.Millisecond
	// halfOpenPart is the part of the flows that may be half-open.
	halfOpenPart = 1.0 / 8
	// halfOpenMin is the least limit of half-open flows.
	halfOpenMin = 256
	// completionLifetime is the time over which completed handshakes are counted.
	completionLifetime = time.Second
	// shareSlack is how far the units in work may go above their limit by shares.
	shareSlack = 1.5
	// allowanceStart and allowanceEnd are the wants over a limit between which the
	// allowance for chance falls from whole to none.
	allowanceStart = 1
	allowanceEnd   = 1.6
	// spreadFill is how full servers nearby get before flows are spread further.
	spreadFill = 0.8
	// wantMost bounds what a kind wants, over the limit, so that a flood is soon
	// forgotten.
	wantMost = 3
	// answerUnknown stands for the answer time until one was seen.
	answerUnknown = 50 * time.Millisecond
)

// pool is the capacity of one service, as far as it is this VM's, with the kinds
// of work that share it. The lock guards all that follows it.
type pool struct {
	mu      sync.Mutex
	service *lhplace.Service
	// kinds are the declared ones, and last the one of all other units.
	kinds []*kind
	// servers are in the order of the service's list.
	servers []*server
	// plan is the part of this VM's flows for each server's data centre.
	plan []float64

	load    load
	limiter limiter
	budget  Budget
	// opened and completed count handshakes that began and that were completed.
	opened, completed gauge
	// halfOpen is the number of handshakes under way.
	halfOpen window

	// fraction is this VM's part of the limits.
	fraction float64
	// workLimit is how many units may be in work on average, and slots is this
	// VM's part of the slots.
	workLimit, slots float64
	// want is how many units would be in work if all were admitted.
	want float64
	// flowLimit is how many flows the servers that take new ones may hold. held is
	// how many flows are held in all, aside how many of them at other servers.
	flowLimit, held, aside int
	// refreshed is when the values from fraction to flowLimit were computed; stale
	// is set when they must be computed again at once.
	refreshed time.Duration
	stale     bool
	// claims is kept for Divide from one refresh to the next.
	claims []Claim
}

// admit decides on a unit of kind k.
func (p *pool) admit(now time.Duration, k *kind) Reason {
	k.offered.add(now, demandLifetime)
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
	return current < k.grant && allows(all, p.want, p.workLimit)
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

// completion returns the part of handshakes that are completed.
func (p *pool) completion(now time.Duration) float64 {
	done := p.completed.read(now, completionLifetime) + 1
	return min(done/(p.opened.read(now, completionLifetime)+1), 1)
}

func (p *pool) halfOpenLimit() float64 {
	return max(halfOpenPart*float64(p.flowLimit), halfOpenMin)
}

// kind returns the kind with a number; that of all other units where it is gone.
func (p *pool) kind(number uint16) *kind {
	for _, k := range p.kinds {
		if k.number() == number {
			return k
		}
	}
	return p.kinds[len(p.kinds)-1]
}

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
