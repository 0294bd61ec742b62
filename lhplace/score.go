package lhplace

import (
	"math"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Score returns the place of a server in the weighted rendezvous order of a flow:
// the highest score comes first. A server comes first for its part of the weights
// of all flows, and a change of one weight moves flows to or from that server
// alone. A weight of 0 or less scores 0.
func Score(id lhflow.ID, server uint32, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	// The rank's upper 53 bits give a uniform number strictly between 0 and 1.
	u := (float64(lhflow.Rank(id, uint64(server))>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
