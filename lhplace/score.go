package lhplace

import (
	"math"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Score returns the weighted rendezvous score of a server for a flow; the highest
// score ranks first. The fraction of flows for which a server ranks first equals
// its fraction of the total weight, and a change of one weight moves flows only to
// or from that server. A weight of 0 or less scores 0.
func Score(id lhflow.ID, server uint32, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	// The upper 53 bits of the rank give a uniform number strictly between 0 and 1.
	u := (float64(lhflow.Rank(id, uint64(server))>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}
