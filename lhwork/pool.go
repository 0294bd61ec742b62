package lhwork

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// completionDecayTime is the time over which handshakes are counted.
	completionDecayTime = time.Second
	// completionPrior is how many handshakes are taken as completed besides.
	completionPrior = 10
)

// pool is the capacity of one service, as far as it is this VM's, with the kinds
// of work that share it. The lock guards all that follows it.
type pool struct {
	mu      sync.Mutex
	service *lhplace.Service
	// kinds are the declared ones, and last the one of all other units.
	kinds []*kind
	// servers are in the order of their numbers.
	servers []*server
	// plan is the part of this VM's flows for each server's data centre.
	plan []float64

	load    load
	limiter limiter
	budget  RetryBudget
	// completed and failed count handshakes that were completed in time or not.
	completed, failed decayingCounter
	// expiredCounted is how many of load.opening's failures failed has counted.
	expiredCounted uint64
	// halfOpen is the number of handshakes under way.
	halfOpen window

	// fraction is this VM's part of the limits.
	fraction float64
	// concurrencyLimit is how many units may be in work on average, and slots is this
	// VM's part of the slots.
	concurrencyLimit, slots float64
	// demand is how many units would be in work if all were admitted.
	demand float64
	// flowLimit is how many flows the servers that take new ones may hold. held is
	// how many flows are held in all, drainingHeld how many of them at other servers.
	flowLimit, held, drainingHeld int
	// refreshed is when the values from fraction to flowLimit were computed; stale
	// is set when they must be computed again at once.
	refreshed time.Duration
	stale     bool
	// dropped is set once the Controller has let the pool go; it then takes no flow.
	dropped bool
	// claims is kept for Divide from one refresh to the next.
	claims []Claim
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

// server returns what is known of a server of the service; nil where the pool's
// table doesn't declare it.
func (p *pool) server(declared *lhplace.Server) *server {
	number := declared.Number()
	if i := declared.Index(); i < len(p.servers) && p.servers[i].declared.Number() == number {
		return p.servers[i]
	}
	// The server is of another revision than the pool.
	i, ok := slices.BinarySearchFunc(p.servers, number, func(s *server, number uint32) int {
		return cmp.Compare(s.declared.Number(), number)
	})
	if !ok {
		return nil
	}
	return p.servers[i]
}

// detach lets the table go of which the pool's service is the last remnant.
func (p *pool) detach() {
	p.service = p.service.Detached()
	for _, k := range p.kinds {
		if k.declared != nil {
			k.declared = k.declared.Detached()
		}
	}
}

// idle reports whether the pool holds no flow and has had no unit for poolIdle.
func (p *pool) idle(now time.Duration) bool { return p.held == 0 && now-p.refreshed > poolIdleTimeout }

// completionRate returns the part of handshakes that is expected to be completed.
func (p *pool) completionRate(now time.Duration) float64 {
	opening := &p.load.opening
	opening.advance(now, openingLifetime)
	if n := opening.expired - p.expiredCounted; n > 0 {
		p.expiredCounted = opening.expired
		p.failed.add(now, completionDecayTime, float64(n))
	}
	completed := p.completed.read(now, completionDecayTime) + completionPrior
	return completed / (completed + p.failed.read(now, completionDecayTime))
}
