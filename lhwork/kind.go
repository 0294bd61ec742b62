package lhwork

import (
	"math"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// demandDecayTime is the time over which the demand of a kind is counted.
const demandDecayTime = 500 * time.Millisecond

// kind is what this VM knows of a kind of work. The pool's lock guards it.
type kind struct {
	// declared is nil for the units of a service that no declared kind takes in.
	declared *lhplace.Kind
	// held is the number of flows of the kind that are not closed.
	held int
	load load
	// halfOpen counts the handshakes under way.
	halfOpen window
	// offered counts the units that asked for admission.
	offered decayingCounter
	// demand is how many units of the kind would be in work if all were admitted, and
	// grant is how many may be.
	demand, grant float64

	// The counters only ever grow.
	admitted uint64
	refused  [ReasonCount]uint64
}

func (k *kind) number() uint16 {
	if k.declared == nil {
		return 0
	}
	return k.declared.Number()
}

func (k *kind) share() float64 {
	if k.declared == nil {
		return 0
	}
	return k.declared.Share()
}

func (k *kind) urgency() uint8 {
	if k.declared == nil {
		return 0
	}
	return uint8(k.declared.Urgency())
}

// estimateDemand returns how many units would be in work if all were admitted, most at the
// most; what is above is forgotten.
func (k *kind) estimateDemand(now, latency time.Duration, limit float64) float64 {
	demand := k.offered.rate(now, demandDecayTime) * latency.Seconds()
	if demand > limit {
		k.offered.value *= limit / demand
		return limit
	}
	return demand
}

// atFlowLimit reports whether the kind holds its part of the flows declared for it.
func (k *kind) atFlowLimit(fraction float64) bool {
	if k.declared == nil || k.declared.Flows() == 0 {
		return false
	}
	return k.held >= scaleLimit(k.declared.Flows(), fraction)
}

// scaleLimit returns a part of a limit, rounded up.
func scaleLimit(limit uint32, fraction float64) int {
	return int(math.Ceil(float64(limit)*fraction - 1e-9))
}
