package lhwork

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// Controller makes the admission and placement decisions of one VM. The zero
// Controller has no service and refuses every unit. Its methods are safe for
// concurrent use.
type Controller struct {
	// mu is held while the table or the view changes.
	mu   sync.Mutex
	view *lhflow.View
	// unreachable holds the data centres that can't be reached; the map is
	// immutable.
	unreachable      map[string]bool
	fraction         sharedFraction
	outcomes         idempotencyTable
	halfOpenByPrefix prefixCounter
	// The state is immutable once stored, except for pools that are added.
	state  atomic.Pointer[state]
	warmup warmup
	// noService counts units that match no service.
	noService atomic.Uint64
}

// sharedFraction is a LimitFraction for concurrent use.
type sharedFraction struct {
	mu       sync.Mutex
	fraction LimitFraction
}

func (s *sharedFraction) read(now time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fraction.Value(now)
}

func (s *sharedFraction) update(now time.Duration, members []lhflow.Member) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fraction.Update(now, members)
}

// SetTable puts a table into force. Servers that it adds, or that take new flows
// again, go through slow start; those of the first table don't.
func (c *Controller) SetTable(now time.Duration, table *lhplace.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next := c.state.Load().successor(now, table)
	for i, service := range table.Services() {
		if p := next.pools[i].Load(); p != nil {
			p.configure(service, next.slowStarts)
			p.setPlan(c.view, c.unreachable)
		}
	}
	c.state.Store(next)
}

// SetUnreachable sets the data centres that this VM can't reach: it had members
// there and has lost contact with all of them. Their servers get flows only where no
// other server has room. It takes effect with the next view or table.
func (c *Controller) SetUnreachable(dataCentres []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		c.unreachable[name] = true
	}
}

// SetView puts a membership view into force. The lost members are those that this VM
// can't reach and that the platform has not declared permanently gone.
func (c *Controller) SetView(now time.Duration, view *lhflow.View, lost []lhflow.MemberID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.view = view
	c.fraction.update(now, view.Members)
	c.outcomes.setMembers(now, view, lost)
	s := c.state.Load()
	if s == nil {
		return
	}
	for i := range s.pools {
		if p := s.pools[i].Load(); p != nil {
			p.setPlan(view, c.unreachable)
		}
	}
}

// Admit decides whether a unit may run. It doesn't count the flow as open; the
// caller reports an admitted flow by Opened.
func (c *Controller) Admit(now time.Duration, u Unit) Decision {
	s := c.state.Load()
	service, ok := s.service(u.Key)
	if !ok {
		c.noService.Add(1)
		return Decision{Reason: ReasonNoService}
	}
	p := c.pool(s, service)
	if u.IdempotencyKey == (IdempotencyKey{}) {
		return c.admit(now, u, p, service)
	}
	return c.outcomes.admitOnce(now, u, func() Decision { return c.admit(now, u, p, service) })
}

// Choose returns the number of the backend server for a new flow, or false if no
// server may take it. It never returns a server in tried.
func (c *Controller) Choose(now time.Duration, id lhflow.ID, key lhflow.Key, tried []uint32) (uint32, bool) {
	s := c.state.Load()
	service, ok := s.service(key)
	if !ok {
		return 0, false
	}
	p := c.pool(s, service)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now, &c.fraction)
	best := p.choose(now, id, tried)
	if best == nil {
		return 0, false
	}
	if best.cold != nil {
		best.cold.sent.Add(now)
	}
	return best.declared.Number(), true
}

// Retry takes one retry out of the retry budget of the flow's service and reports
// whether the budget allowed it.
func (c *Controller) Retry(key lhflow.Key) bool {
	s := c.state.Load()
	service, ok := s.service(key)
	if !ok {
		return false
	}
	p := s.pool(service)
	return p != nil && p.budget.Withdraw()
}

// HandshakeTimeout returns how long a flow of the service may stay half-open. It
// decreases as more half-open flows accumulate.
func (c *Controller) HandshakeTimeout(now time.Duration, key lhflow.Key) time.Duration {
	s := c.state.Load()
	service, ok := s.service(key)
	if !ok {
		return MaxHandshakeTimeout
	}
	p := s.pool(service)
	if p == nil {
		return MaxHandshakeTimeout
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.handshakeTimeout(now)
}

func (c *Controller) admit(now time.Duration, u Unit, p *pool, service *lhplace.Service) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now, &c.fraction)
	k := p.kind(0)
	if d := service.KindOf(u.Key.Caller); d != nil {
		k = p.kind(d.Number())
	}
	reason := c.refusalReason(now, u, p, k)
	if reason == ReasonNone {
		k.admitted++
		p.budget.Deposit()
	} else {
		k.refused[reason]++
	}
	return Decision{Admitted: reason == ReasonNone, Kind: k.number(), Reason: reason}
}

func (c *Controller) refusalReason(now time.Duration, u Unit, p *pool, k *kind) Reason {
	switch {
	case u.Deadline != 0 && now >= u.Deadline:
		return ReasonDeadline
	case c.halfOpenByPrefix.read(now, u.Key.Caller) >= max(p.halfOpenLimit()*prefixFraction, minPrefixLimit):
		return ReasonHalfOpen
	}
	return p.admit(now, k)
}

// pool returns the pool of a service of s. It creates the pool when the first unit
// of the service arrives.
func (c *Controller) pool(s *state, service *lhplace.Service) *pool {
	if p := s.pool(service); p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	latest := c.state.Load()
	if d, ok := latest.byName(service.Name()); ok {
		service, s = d, latest
	}
	if p := s.pool(service); p != nil {
		return p
	}
	p := c.newPool(s, service)
	s.pools[service.Index()].Store(p)
	return p
}

// newPool returns a pool in its initial state. The caller holds c.mu.
func (c *Controller) newPool(s *state, service *lhplace.Service) *pool {
	p := &pool{warmup: &c.warmup}
	p.configure(service, s.slowStarts)
	p.setPlan(c.view, c.unreachable)
	return p
}
