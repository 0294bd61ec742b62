package lhwork

import (
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// maxFlowImbalance is the limit of a server's open flows, relative to their
	// weighted mean.
	maxFlowImbalance = 1.05
	// maxInFlightImbalance is the limit of a server's units in flight, relative to
	// their weighted mean.
	maxInFlightImbalance = 1.25
)

// tier ranks the servers that may get a flow; a higher tier is preferred.
type tier uint8

const (
	// tierExcluded may not get the flow.
	tierExcluded tier = iota
	// tierOverloaded has room for the flow but too many units in flight.
	tierOverloaded
	// tierUnplanned has room, but the plan assigns it none of this VM's flows.
	tierUnplanned
	// tierAboveShare has room, but already holds more than its share of the flows.
	tierAboveShare
	// tierWithinShare has room and is within its share.
	tierWithinShare
)

// choose returns the first server in rendezvous order of the highest tier.
func (p *pool) choose(now time.Duration, id lhflow.ID, tried []uint32) *server {
	completion := p.completionRate(now)
	_, inFlight := p.load.observe(now, inFlightAverageTime, completion)
	inFlight = max(inFlight, p.concurrencyLimit) * maxInFlightImbalance
	held := float64(p.held-p.drainingHeld+1) * maxFlowImbalance

	var best *server
	var bestTier tier
	var bestScore float64
	for _, s := range p.servers {
		t := s.tier(now, completion, held, inFlight)
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

// tier returns the tier of the server, where held and inFlight are the bounds on the
// open flows and the units in flight of all servers together.
func (s *server) tier(now time.Duration, completion, held, inFlight float64) tier {
	if s.effectiveWeight == 0 || s.held >= s.limit || !s.coldAllows(now) {
		return tierExcluded
	}
	share := s.flowShare
	if share == 0 {
		share = 1 / float64(len(s.pool.servers))
	}
	limit := inFlight * share
	switch {
	case s.load.inFlight(now, completion) >= limit+burstMargin(limit):
		return tierOverloaded
	case s.flowShare == 0:
		return tierUnplanned
	case float64(s.held) >= held*share+1:
		return tierAboveShare
	}
	return tierWithinShare
}
