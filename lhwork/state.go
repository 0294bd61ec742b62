package lhwork

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// poolIdleTimeout is how long a pool without flows is kept after its last unit.
const poolIdleTimeout = time.Minute

// state maps services and servers of the table in force to their pools.
type state struct {
	table *lhplace.Table
	// pools holds the pool of each service by the service's index; nil until the
	// first unit. Pools are stored with the Controller's lock held.
	pools []atomic.Pointer[pool]
	// slowStarts holds the time at which servers were added to the table or began to
	// take flows again, for the duration of slow start.
	slowStarts map[uint32]time.Duration
	// removed holds servers that the table doesn't declare: those of the previous
	// table, on which another goroutine may be opening a flow, and older ones while
	// they hold flows.
	removed map[uint32]*server
}

// service returns the service that matches a flow.
func (s *state) service(key lhflow.Key) (*lhplace.Service, bool) {
	if s == nil {
		return nil, false
	}
	return s.table.Service(key)
}

// pool returns the pool of a service of the table; nil if it has none.
func (s *state) pool(service *lhplace.Service) *pool {
	return s.pools[service.Index()].Load()
}

// byName returns the service with the given name.
func (s *state) byName(name string) (*lhplace.Service, bool) {
	list := s.table.Services()
	i := sort.Search(len(list), func(i int) bool { return list[i].Name() >= name })
	if i == len(list) || list[i].Name() != name {
		return nil, false
	}
	return list[i], true
}

// successor returns the state for a new table. It carries over the pools in use and
// the servers that are still needed.
func (s *state) successor(now time.Duration, table *lhplace.Table) *state {
	next := &state{
		table:      table,
		pools:      make([]atomic.Pointer[pool], len(table.Services())),
		slowStarts: map[uint32]time.Duration{},
		removed:    map[uint32]*server{},
	}
	if s == nil {
		return next
	}
	next.carryRemoved(s.removed)
	for i := range s.pools {
		if p := s.pools[i].Load(); p != nil {
			next.carryPool(now, p)
		}
	}
	next.carrySlowStarts(now, s)
	return next
}

// carryRemoved carries over the removed servers that still hold flows.
func (s *state) carryRemoved(removed map[uint32]*server) {
	for number, server := range removed {
		server.pool.mu.Lock()
		if server.held > 0 {
			s.removed[number] = server
		}
		server.pool.mu.Unlock()
	}
}

// carryPool carries over a pool, unless it is idle or its service was removed, and
// those of its servers that the new table doesn't declare.
func (s *state) carryPool(now time.Duration, p *pool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.dropped = p.idle(now); p.dropped {
		return
	}
	for _, server := range p.servers {
		number := server.declared.Number()
		if _, ok := s.table.Server(number); !ok {
			server.declared = server.declared.Detached()
			s.removed[number] = server
		}
	}
	if service, ok := s.byName(p.service.Name()); ok {
		s.pools[service.Index()].Store(p)
	} else {
		p.detach()
	}
}

// carrySlowStarts records the servers that are in slow start.
func (s *state) carrySlowStarts(now time.Duration, old *state) {
	for number, started := range old.slowStarts {
		if now-started < slowStartRetention {
			s.slowStarts[number] = started
		}
	}
	known := old.table.Services()
	for i, service := range s.table.Services() {
		if i < len(known) && known[i] == service {
			continue
		}
		for _, d := range service.Servers() {
			before, ok := old.table.Server(d.Number())
			if !ok || d.Serving() && !before.Serving() {
				s.slowStarts[d.Number()] = now
			}
		}
	}
}
