package lhmark

import (
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// sampleSize is the number of servers compared for a new flow. Three random ones
	// spread flows well, and keep VMs with the same state from all choosing the same.
	sampleSize = 3
	// maxDraws is how many servers are looked at to find them: suspect servers and those
	// already tried are passed over.
	maxDraws = 24
	// maxPacedDraws is how many draws may return paced servers until nearly all servers are
	// taken for paced.
	maxPacedDraws = 4
	// remoteCostFactor multiplies the cost of a server in another data centre: its answers
	// take longer, and a partition between data centres would cut the flow off.
	remoteCostFactor = 4
)

// candidate is a server that is eligible for a new flow; none if server is nil.
type candidate struct {
	server *Server
	cost   float64
	// expected and quickShare are as in rating.
	expected, quickShare float32
}

// chooseServer returns the server for a new flow among those not tried yet, or nil
// if there is none. A server whose pace leaves the flow to others is chosen only if there are
// no others, and a suspect server only if no other is found. The cost of a choice does not
// depend on the number of servers, unless nearly all are suspect.
func (e *Engine) chooseServer(now time.Duration, id lhflow.ID, p *pool, tried []uint32) *candidate {
	if p == nil {
		return nil
	}
	best, paced := e.lowestCost(now, id, p.local(e.dataCentre), tried)
	remote, remotePaced := e.lowestCost(now, id, p.remote(e.dataCentre), tried)
	if remote.server != nil && e.preferRemote(id, &best, &remote) {
		best = remote
	}
	if best.server == nil {
		best = paced
	}
	if best.server == nil {
		best = remotePaced
	}
	if best.server == nil {
		return e.scan(now, p, tried)
	}
	return &best
}

// lowestCost returns the candidate with the lowest cost among sampleSize servers, or none if
// all that were looked at are suspect, paced or have been tried, and the one among those that
// are paced.
func (e *Engine) lowestCost(now time.Duration, id lhflow.ID, p part, tried []uint32) (best, paced candidate) {
	var found [sampleSize]*Server
	count, pacedCount := 0, 0
	for n := uint64(0); p.size > 0 && n < maxDraws && count < sampleSize && pacedCount < maxPacedDraws; n++ {
		s, ok := p.draw(id, n)
		if !ok || slices.Contains(tried, s.Number) || slices.Contains(found[:count], s) {
			continue
		}
		r := e.rate(now, s)
		if r.suspect || r.part == 0 {
			continue
		}
		if r.limited(id, len(tried), count) {
			pacedCount++
			if paced.server == nil || r.cost < paced.cost {
				paced = candidate{s, r.cost, r.expected, r.quickShare}
			}
			continue
		}
		found[count] = s
		if count++; best.server == nil || r.cost < best.cost {
			best = candidate{s, r.cost, r.expected, r.quickShare}
		}
	}
	return best, paced
}

// scan looks at all servers but those whose declared limit is reached. It returns the one
// with the lowest cost, or if all are suspect, the one whose last failure is the longest ago, and
// of several that have not failed by themselves the one with the lowest cost.
func (e *Engine) scan(now time.Duration, p *pool, tried []uint32) *candidate {
	var best, oldest *candidate
	oldestFailure := time.Duration(0)
	for _, s := range p.servers {
		if slices.Contains(tried, s.Number) {
			continue
		}
		r := e.rate(now, s)
		switch {
		case r.part == 0:
		case !r.suspect && (best == nil || r.cost < best.cost):
			best = &candidate{s, r.cost, r.expected, r.quickShare}
		case r.suspect && (oldest == nil || r.lastFailure < oldestFailure || r.lastFailure == oldestFailure && r.cost < oldest.cost):
			oldest, oldestFailure = &candidate{s, r.cost, r.expected, r.quickShare}, r.lastFailure
		}
	}
	if best == nil {
		best = oldest
	}
	return best
}
