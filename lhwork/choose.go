package lhwork

import (
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// maxFlowImbalance is how far a server's flows may go above their weighted mean.
	maxFlowImbalance = 1.05
	// maxInFlightImbalance is how far a server's units in work may go above theirs.
	maxInFlightImbalance = 1.25
)

// tier orders the servers that may get a flow by how well they suit.
type tier uint8

const (
	// tierExcluded may not get the flow.
	tierExcluded tier = iota
	// tierOverloaded has room for the flow but too much work.
	tierOverloaded
	// tierUnplanned has room, and the plan gives it none of this VM's flows.
	tierUnplanned
	// tierAboveShare has room, but more flows than its part.
	tierAboveShare
	// tierWithinShare has room for its part.
	tierWithinShare
)

// choose returns the first server in rendezvous order of the best tier.
func (p *pool) choose(now time.Duration, id lhflow.ID, tried []uint32) *server {
	completed := p.completionRate(now)
	_, inFlight := p.load.observe(now, inFlightAverageTime, completed)
	inFlight = max(inFlight, p.concurrencyLimit) * maxInFlightImbalance
	held := float64(p.held-p.drainingHeld+1) * maxFlowImbalance

	var best *server
	var bestTier tier
	var bestScore float64
	for _, s := range p.servers {
		t := s.tier(now, completed, held, inFlight)
		if t == tierExcluded || t < bestTier || slices.Contains(tried, s.declared.Number()) {
			continue
		}
		weight := s.flowShare
		if weight == 0 {
			weight = s.effectiveWeight
		}
		score := lhplace.Score(id, s.declared.Number(), weight)
		if t > bestTier || score > bestScore {
			best, bestTier, bestScore = s, t, score
		}
	}
	return best
}

// tier says how well the server suits, where held and work are the bounds on the
// flows held and the units in work of all servers together.
func (s *server) tier(now time.Duration, completed, held, inFlight float64) tier {
	if s.effectiveWeight == 0 || s.held >= s.limit {
		return tierExcluded
	}
	share := s.flowShare
	if share == 0 {
		share = 1 / float64(len(s.pool.servers))
	}
	limit := inFlight * share
	switch {
	case s.load.inFlight(now, completed) >= limit+burstMargin(limit):
		return tierOverloaded
	case s.flowShare == 0:
		return tierUnplanned
	case float64(s.held) >= held*share+1:
		return tierAboveShare
	}
	return tierWithinShare
}
