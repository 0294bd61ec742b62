package lhwork

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// Snapshot is the state of a Controller in a state dump.
type Snapshot struct {
	// Part is this VM's fraction of every limit, from 0 to 1.
	Part float64 `json:"part"`
	// NoService counts units that match no service.
	NoService uint64            `json:"noservice"`
	Services  []ServiceSnapshot `json:"services"`
}

// ServiceSnapshot is the state of one service; its limits are this VM's fraction.
type ServiceSnapshot struct {
	Name string `json:"name"`
	// Work is the mean number of units in flight, and WorkLimit its limit.
	Work      float64 `json:"work"`
	WorkLimit float64 `json:"worklimit"`
	// Scale is the factor by which the limit has been adapted.
	Scale float64 `json:"scale"`
	// Answer is the mean latency of first answers, Unloaded that of idle servers.
	Answer    time.Duration `json:"answer"`
	Unloaded  time.Duration `json:"unloaded"`
	Held      int           `json:"held"`
	FlowLimit int           `json:"flowlimit"`
	HalfOpen  float64       `json:"halfopen"`
	// Retries counts the retries granted by the retry budget.
	Retries uint64           `json:"retries"`
	Kinds   []KindSnapshot   `json:"kinds"`
	Servers []ServerSnapshot `json:"servers"`
}

// KindSnapshot is the state of one kind of work; that of all other units has no
// name.
type KindSnapshot struct {
	Name   string  `json:"name"`
	Number uint16  `json:"number"`
	Share  float64 `json:"share"`
	// Work is the mean number of units in flight, and Grant how many it may have.
	Work     float64 `json:"work"`
	Grant    float64 `json:"grant"`
	Held     int     `json:"held"`
	Admitted uint64  `json:"admitted"`
	// Refused counts refused units by the name of the reason.
	Refused map[string]uint64 `json:"refused,omitempty"`
}

// ServerSnapshot is the state of one backend server.
type ServerSnapshot struct {
	Number uint32 `json:"number"`
	Name   string `json:"name"`
	Held   int    `json:"held"`
	Limit  int    `json:"limit"`
	// Part is the fraction of this VM's new flows that the server gets.
	Part float64 `json:"part"`
	// Warmth is below 1 during slow start or while the pace is not full, and Health after
	// failures. Cold is how long a declared limit holds.
	Warmth float64       `json:"warmth"`
	Cold   time.Duration `json:"cold"`
	Health float64       `json:"health"`
	Opened uint64        `json:"opened"`
	Resets uint64        `json:"resets"`
	Silent uint64        `json:"silent"`
	// Contradictions counts reports that contradict what this VM has observed.
	Contradictions uint64 `json:"disagreed"`
}

// Snapshot returns the state at now. The state of each service is consistent in
// itself.
func (c *Controller) Snapshot(now time.Duration) Snapshot {
	snap := Snapshot{Part: c.fraction.read(now), NoService: c.noService.Load()}
	s := c.state.Load()
	if s == nil {
		return snap
	}
	for _, service := range s.table.Services() {
		snap.Services = append(snap.Services, c.snapshotPool(s, service).snapshot(now, &c.fraction))
	}
	return snap
}

// snapshotPool returns the pool of a service for a dump. For a service without a
// pool it returns a new one that isn't stored.
func (c *Controller) snapshotPool(s *state, service *lhplace.Service) *pool {
	if p := s.pool(service); p != nil {
		return p
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.newPool(s, service)
}

func (p *pool) snapshot(now time.Duration, fraction *sharedFraction) ServiceSnapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refresh(now, fraction)
	mean, _ := p.load.observe(now, inFlightAverageTime, p.completionRate(now))
	snap := ServiceSnapshot{
		Name:      p.service.Name(),
		Work:      mean,
		WorkLimit: p.concurrencyLimit,
		Scale:     p.limiter.scale(),
		Answer:    p.limiter.meanLatency,
		Unloaded:  p.limiter.unloadedLatency,
		Held:      p.held,
		FlowLimit: p.flowLimit,
		HalfOpen:  p.halfOpen.Read(now, MaxHandshakeTimeout),
		Retries:   p.budget.Withdrawn(),
	}
	for _, k := range p.kinds {
		snap.Kinds = append(snap.Kinds, k.snapshot())
	}
	for _, s := range p.servers {
		snap.Servers = append(snap.Servers, s.snapshot(now))
	}
	return snap
}

func (k *kind) snapshot() KindSnapshot {
	snap := KindSnapshot{
		Number:   k.number(),
		Share:    k.share(),
		Work:     k.load.mean.value,
		Grant:    k.grant,
		Held:     k.held,
		Admitted: k.admitted,
	}
	if k.declared != nil {
		snap.Name = k.declared.Name()
	}
	for reason, n := range k.refused {
		if n == 0 {
			continue
		}
		if snap.Refused == nil {
			snap.Refused = map[string]uint64{}
		}
		snap.Refused[Reason(reason).String()] = n
	}
	return snap
}

func (s *server) snapshot(now time.Duration) ServerSnapshot {
	return ServerSnapshot{
		Number:         s.declared.Number(),
		Name:           s.declared.Name(),
		Held:           s.held,
		Limit:          s.limit,
		Part:           s.flowShare,
		Warmth:         s.warmupFactor(now),
		Cold:           s.coldFor(now),
		Health:         s.currentHealth(now),
		Opened:         s.opened,
		Resets:         s.resets,
		Silent:         s.synTimeouts,
		Contradictions: s.contradictions,
	}
}
