package lhwork

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// Controller decides for one VM. The zero Controller knows no service and refuses
// everything; its methods may be called from several threads.
type Controller struct {
	// mu is held while the table or the view changes.
	mu   sync.Mutex
	view *lhflow.View
	// unreachable holds the data centres that can't be reached; it is never changed.
	unreachable      map[string]bool
	fraction         sharedFraction
	outcomes         idempotencyTable
	halfOpenByPrefix prefixCounter
	// state is never changed after it has been stored.
	state atomic.Pointer[state]
	// noService counts units for which no service is declared.
	noService atomic.Uint64
}

// sharedFraction is a Part that several threads read.
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

// SetTable puts a table into force. Servers that come with it, or that take new
// flows again, start slowly; those of the first table don't.
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

// SetUnreachable says which data centres this VM can't reach: it had members there and
// has lost them all. Their servers get flows only where no other has room. It
// comes into force with the next view or table.
func (c *Controller) SetUnreachable(dataCentres []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable = make(map[string]bool, len(dataCentres))
	for _, name := range dataCentres {
		c.unreachable[name] = true
	}
}

// SetView puts a view of the members into force. The lost are members that this
// VM can't reach and that the platform has not said to be gone for good.
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

// Admit decides whether a unit may run. It counts nothing as held: an admitted
// flow is reported by Opened.
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

// Choose returns the number of the backend server for a new flow, or false where
// none may take it. It never returns one of those tried.
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
	return best.declared.Number(), true
}

// Retry takes one retry out of the budget of the flow's service, and reports
// whether there was one.
func (c *Controller) Retry(key lhflow.Key) bool {
	s := c.state.Load()
	service, ok := s.service(key)
	if !ok {
		return false
	}
	p := s.pool(service)
	return p != nil && p.budget.Withdraw()
}

// HandshakeTimeout returns how long a half-open flow of the service may last. It
// grows shorter as more flows are opened than completed.
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

// pool returns the pool of a service of s, which is made when the first unit for
// the service arrives.
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

// newPool returns a pool as it is before the first unit. The caller holds the lock.
func (c *Controller) newPool(s *state, service *lhplace.Service) *pool {
	p := &pool{}
	p.configure(service, s.slowStarts)
	p.setPlan(c.view, c.unreachable)
	return p
}
