package lhwork

import (
	"sort"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// poolIdleTimeout is how long a pool that holds no flow is kept without any unit.
const poolIdleTimeout = time.Minute

// state is what the Controller finds pools and servers by.
type state struct {
	table *lhplace.Table
	// pools holds the pool of each service at its index, nil until the first unit.
	// A pool is stored while the Controller's lock is held.
	pools []atomic.Pointer[pool]
	// slowStarts holds when servers came with a table or took flows again, for as long as
	// the slow start lasts.
	slowStarts map[uint32]time.Duration
	// removed holds the servers that the table doesn't declare: those of the table
	// before, which a thread may be opening a flow at, and others while flows are held.
	removed map[uint32]*server
}

// service returns the service that a flow is for.
func (s *state) service(key lhflow.Key) (*lhplace.Service, bool) {
	if s == nil {
		return nil, false
	}
	return s.table.Service(key)
}

// pool returns the pool of a service of the table; nil where there is none.
func (s *state) pool(service *lhplace.Service) *pool {
	return s.pools[service.Index()].Load()
}

// byName returns the service with a name.
func (s *state) byName(name string) (*lhplace.Service, bool) {
	list := s.table.Services()
	i := sort.Search(len(list), func(i int) bool { return list[i].Name() >= name })
	if i == len(list) || list[i].Name() != name {
		return nil, false
	}
	return list[i], true
}

// successor returns the state of the next table. It takes over the pools that are
// in use, and the servers that are still needed.
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

// carryRemoved takes over the removed servers that still hold flows.
func (s *state) carryRemoved(removed map[uint32]*server) {
	for number, server := range removed {
		server.pool.mu.Lock()
		if server.held > 0 {
			s.removed[number] = server
		}
		server.pool.mu.Unlock()
	}
}

// carryPool takes over a pool, unless it is idle or its service is gone, and those
// of its servers that the table declares no more.
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

// carrySlowStarts notes the servers that start slowly.
func (s *state) carrySlowStarts(now time.Duration, old *state) {
	for number, started := range old.slowStarts {
		if now-started < SlowStart {
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
