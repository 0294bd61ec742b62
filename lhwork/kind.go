package lhwork

import (
	"math"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhpace"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// demandDecayTime is the time constant over which the demand of a kind is counted.
const demandDecayTime = 500 * time.Millisecond

// kind is the state of a kind of work on this VM, guarded by the lock of its pool.
type kind struct {
	// declared is nil for the kind that takes the units of a service that match no
	// declared kind.
	declared *lhplace.Kind
	// held is the number of open flows of the kind.
	held int
	load load
	// halfOpen counts the handshakes in progress.
	halfOpen Window
	// offered counts the units that requested admission.
	offered DecayingCounter
	// usual is how long the answers of servers usually take that are not paced.
	usual lhpace.Usual
	// demand is how many units of the kind would be in flight if all were admitted,
	// and grant is how many may be.
	demand, grant float64

	// The counters are monotonic.
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

// estimateDemand returns how many units would be in flight if all were admitted,
// capped at limit. The count of offered units is reduced to the cap, so that excess
// demand has no later effect.
func (k *kind) estimateDemand(now, latency time.Duration, limit float64) float64 {
	demand := k.offered.Rate(now, demandDecayTime) * latency.Seconds()
	if demand > limit {
		k.offered.value *= limit / demand
		return limit
	}
	return demand
}

// atFlowLimit reports whether the kind has reached this VM's fraction of its
// declared flow limit.
func (k *kind) atFlowLimit(fraction float64) bool {
	if k.declared == nil || k.declared.Flows() == 0 {
		return false
	}
	return k.held >= scaleLimit(k.declared.Flows(), fraction)
}

// scaleLimit returns a fraction of a limit, rounded up.
func scaleLimit(limit uint32, fraction float64) int {
	return int(math.Ceil(float64(limit)*fraction - 1e-9))
}
