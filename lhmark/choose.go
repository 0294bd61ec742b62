package lhmark

import (
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

const (
	// sampleSize is the number of servers compared for a new flow. Three in
	// rendezvous order spread flows well, and keep VMs with the same state from all
	// choosing the same server.
	sampleSize = 3
	// remoteCostFactor multiplies the cost of a server in another data centre: its answers
	// take longer, and a partition between data centres would cut the flow off.
	remoteCostFactor = 4
)

// candidate is a server that is eligible for a new flow.
type candidate struct {
	server *Server
	cost   float64
	// score is the rendezvous score; the highest is considered first.
	score float64
}

// chooseServer returns the server for a new flow among those not tried yet, or nil
// if there is none. A suspect server is chosen only if all others are suspect too.
func (e *Engine) chooseServer(now time.Duration, id lhflow.ID, servers []*Server, tried []uint32) *candidate {
	var local, remote, suspects []candidate
	for _, s := range servers {
		if slices.Contains(tried, s.Number) {
			continue
		}
		stats := e.statsOf(s)
		stats.mu.Lock()
		c := candidate{server: s, cost: stats.cost(now, s.Slots), score: lhplace.Score(id, s.Number, float64(s.Slots))}
		suspect := stats.suspect(now)
		lastFailure := stats.lastFailure
		stats.mu.Unlock()
		switch {
		case suspect:
			c.score = -float64(lastFailure)
			suspects = append(suspects, c)
		case s.DataCentre == e.dataCentre:
			local = append(local, c)
		default:
			c.cost *= remoteCostFactor
			remote = append(remote, c)
		}
	}
	best := lowestCost(local)
	if bestRemote := lowestCost(remote); best == nil || bestRemote != nil && bestRemote.cost < best.cost {
		best = bestRemote
	}
	if best == nil && len(suspects) > 0 {
		best = &topScored(suspects, 1)[0]
	}
	return best
}

// lowestCost returns the candidate with the lowest cost among the sampleSize with
// the highest scores, or nil for an empty list.
func lowestCost(list []candidate) *candidate {
	var best *candidate
	for i, c := range topScored(list, sampleSize) {
		if best == nil || c.cost < best.cost {
			best = &list[i]
		}
	}
	return best
}

// topScored sorts the candidates by descending score and returns the first n.
func topScored(list []candidate, n int) []candidate {
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
