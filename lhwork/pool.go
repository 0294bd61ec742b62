package lhwork

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// completionDecayTime is the time constant over which handshakes are counted.
	completionDecayTime = time.Second
	// completionPrior is the number of completed handshakes assumed in addition to
	// those counted.
	completionPrior = 10
)

// pool holds this VM's fraction of the capacity of one service and the kinds of work
// that share it. mu guards the fields below it.
type pool struct {
	mu      sync.Mutex
	service *lhplace.Service
	// kinds holds the declared kinds, followed by the one for all other units.
	kinds []*kind
	// warmup is that of the Controller.
	warmup *warmup
	// servers is sorted by number.
	servers []*server
	// plan is, for each server, the fraction of this VM's flows for its data centre,
	// divided by the weight of the data centre.
	plan []float64

	load    load
	limiter limiter
	budget  RetryBudget
	// completed and failed count the handshakes that were completed and those that
	// ended or expired before that.
	completed, failed DecayingCounter
	// expiredCounted is how many of load.opening.expired have been added to failed.
	expiredCounted uint64
	// halfOpen counts the handshakes in progress.
	halfOpen Window

	// fraction is this VM's fraction of the limits.
	fraction float64
	// concurrencyLimit is how many units may be in flight on average, and slots is
	// this VM's fraction of the slots.
	concurrencyLimit, slots float64
	// demand is how many units would be in flight if all were admitted.
	demand float64
	// flowLimit is how many flows the servers that take new ones may hold. held is
	// the number of open flows, and drainingHeld how many of them are on other
	// servers.
	flowLimit, held, drainingHeld int
	// refreshed is when the values from fraction to flowLimit were last computed;
	// stale is set when the next call must recompute them.
	refreshed time.Duration
	stale     bool
	// dropped is set once the Controller has released the pool, which then accepts
	// no flow.
	dropped bool
	// claims is reused by Allocate from one refresh to the next.
	claims []Claim
}

// kind returns the kind with a number, or the kind of all other units if it was
// removed.
func (p *pool) kind(number uint16) *kind {
	for _, k := range p.kinds {
		if k.number() == number {
			return k
		}
	}
	return p.kinds[len(p.kinds)-1]
}

// server returns the state of a server of the service; nil if the pool's table
// doesn't declare it.
func (p *pool) server(declared *lhplace.Server) *server {
	number := declared.Number()
	if i := declared.Index(); i < len(p.servers) && p.servers[i].declared.Number() == number {
		return p.servers[i]
	}
	// The server is declared by another table revision than the pool.
	i, ok := slices.BinarySearchFunc(p.servers, number, func(s *server, number uint32) int {
		return cmp.Compare(s.declared.Number(), number)
	})
	if !ok {
		return nil
	}
	return p.servers[i]
}

// detach drops the pool's references to the table of a removed service, so that the
// table can be garbage-collected.
func (p *pool) detach() {
	p.service = p.service.Detached()
	for _, k := range p.kinds {
		if k.declared != nil {
			k.declared = k.declared.Detached()
		}
	}
}

// idle reports whether the pool holds no flow and has received no unit for
// poolIdleTimeout.
func (p *pool) idle(now time.Duration) bool { return p.held == 0 && now-p.refreshed > poolIdleTimeout }

// completionRate returns the fraction of handshakes that is expected to be
// completed.
func (p *pool) completionRate(now time.Duration) float64 {
	opening := &p.load.opening
	opening.advance(now, openingLifetime)
	if n := opening.expired - p.expiredCounted; n > 0 {
		p.expiredCounted = opening.expired
		p.failed.Add(now, completionDecayTime, float64(n))
	}
	completed := p.completed.Read(now, completionDecayTime) + completionPrior
	return completed / (completed + p.failed.Read(now, completionDecayTime))
}
