package lhmark

import (
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// sample is how many servers are compared for a new flow. Three by rendezvous
	// order spread flows well, and keep VMs that know the same from all choosing the
	// same server.
	sample = 3
	// awayCost is how much dearer a server of another data centre is: its answers
	// take longer, and a cut between data centres would part the flow from it.
	awayCost = 4
)

// candidate is a server that may get a new flow.
type candidate struct {
	server *Server
	cost   float64
	// score orders candidates by rendezvous, the highest first.
	score float64
}

// choose returns the server for a new flow among those not tried, or nil where there
// is none. A suspect server is chosen only where all others are.
func (e *Engine) choose(now time.Duration, id lhflow.ID, list []*Server, tried []uint32) *candidate {
	var near, far, last []candidate
	for _, s := range list {
		if slices.Contains(tried, s.Number) {
			continue
		}
		g := e.gauge(s)
		g.mu.Lock()
		c := candidate{server: s, cost: g.cost(now, s.Slots), score: lhplace.Score(id, s.Number, float64(s.Slots))}
		suspect := g.suspect(now)
		failed := g.failed
		g.mu.Unlock()
		switch {
		case suspect:
			c.score = -float64(failed)
			last = append(last, c)
		case s.DataCentre == e.dataCentre:
			near = append(near, c)
		default:
			c.cost *= awayCost
			far = append(far, c)
		}
	}
	best := cheapest(near)
	if other := cheapest(far); best == nil || other != nil && other.cost < best.cost {
		best = other
	}
	if best == nil && len(last) > 0 {
		best = &first(last, 1)[0]
	}
	return best
}

// cheapest returns the candidate of the least cost among the first of the list, or
// nil for an empty list.
func cheapest(list []candidate) *candidate {
	var best *candidate
	for i, c := range first(list, sample) {
		if best == nil || c.cost < best.cost {
			best = &list[i]
		}
	}
	return best
}

// first brings the n candidates with the highest scores to the front and returns them.
func first(list []candidate, n int) []candidate {
	slices.SortFunc(list, func(a, b candidate) int {
		switch {
		case a.score > b.score:
			return -1
		case a.score < b.score:
			return 1
		}
		return 0
	})
	return list[:min(n, len(list))]
}
