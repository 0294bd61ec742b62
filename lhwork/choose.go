package lhwork

import (
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// heldBound is how far a server's flows may go above their weighted mean.
	heldBound = 1.05
	// workBound is how far a server's units in work may go above theirs.
	workBound = 1.25
)

// tier orders the servers that may get a flow by how well they suit.
type tier uint8

const (
	// tierNone may not get the flow.
	tierNone tier = iota
	// tierFull has room for the flow but too much work.
	tierFull
	// tierAway has room, and the plan gives it none of this VM's flows.
	tierAway
	// tierUneven has room, but more flows than its part.
	tierUneven
	// tierEven has room for its part.
	tierEven
)

// choose returns the first server in rendezvous order of the best tier.
func (p *pool) choose(now time.Duration, id lhflow.ID, tried []uint32) *server {
	completed := p.completion(now)
	_, work := p.load.observe(now, workLifetime, completed)
	work = max(work, p.workLimit) * workBound
	held := float64(p.held-p.aside+1) * heldBound

	var best *server
	var bestTier tier
	var high float64
	for _, s := range p.servers {
		t := s.tier(now, completed, held, work)
		if t == tierNone || t < bestTier || slices.Contains(tried, s.declared.Number()) {
			continue
		}
		weight := s.part
		if weight == 0 {
			weight = s.room
		}
		score := lhplace.Score(id, s.declared.Number(), weight)
		if t > bestTier || score > high {
			best, bestTier, high = s, t, score
		}
	}
	return best
}

// tier says how well the server suits, where held and work are the bounds on the
// flows held and the units in work of all servers together.
func (s *server) tier(now time.Duration, completed, held, work float64) tier {
	if s.room == 0 || s.held >= s.limit {
		return tierNone
	}
	part := s.part
	if part == 0 {
		part = 1 / float64(len(s.pool.servers))
	}
	bound := work * part
	switch {
	case s.load.inWork(now, completed) >= bound+burst(bound):
		return tierFull
	case s.part == 0:
		return tierAway
	case float64(s.held) >= held*part+1:
		return tierUneven
	}
	return tierEven
}
