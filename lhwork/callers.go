package lhwork

import (
	"math"
	"sync"
	"time"

	"github.com/dchest/siphash"
)

const (
	// callerRows and callerSlots are the size of the sketch: two counts in the same slot of
	// all rows are rare up to a few thousand callers.
	callerRows  = 2
	callerSlots = 4096
	// callerWindow is the time constant over which the use of a caller is counted: longer than
	// a burst of retries, shorter than a flood.
	callerWindow = 10 * time.Second
	// callerExcess is the multiple of the mean use per caller up to which a caller's use counts
	// as even, and callerAllowance a number of units that is never excessive: a caller that
	// is seen rarely has a use of one or two by chance.
	callerExcess    = 2
	callerAllowance = 2
	// minActiveUse is the use below which a slot counts as empty.
	minActiveUse = 0.1
)

// CallerUse estimates how much each caller uses, in fixed memory. Its estimates are never
// below the use; callers that share their slots with others are overestimated. The zero
// CallerUse is empty. It is safe for concurrent use.
type CallerUse struct {
	mu sync.Mutex
	// rows are allocated with the first use.
	rows *[callerRows][callerSlots]DecayingCounter
	// mean is the mean use of an active caller, as of the last call of Refresh.
	mean float64
}

// Add records a unit of work that is admitted for a caller.
func (u *CallerUse) Add(now time.Duration, caller [16]byte) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rows == nil {
		u.rows = new([callerRows][callerSlots]DecayingCounter)
	}
	for row := range u.rows {
		u.slot(row, caller).Add(now, callerWindow, 1)
	}
}

// Excessive reports whether a caller uses much more than others do.
func (u *CallerUse) Excessive(now time.Duration, caller [16]byte) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rows == nil {
		return false
	}
	use := math.Inf(1)
	for row := range u.rows {
		use = min(use, u.slot(row, caller).Read(now, callerWindow))
	}
	return use > callerExcess*u.mean+callerAllowance
}

// Refresh updates the mean use of a caller. It takes time for each slot, and is called a few
// times a second at most.
func (u *CallerUse) Refresh(now time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.rows == nil {
		return
	}
	sum, active := 0.0, 0
	for i := range u.rows[0] {
		if use := u.rows[0][i].Read(now, callerWindow); use >= minActiveUse {
			sum += use
			active++
		}
	}
	// Some callers share a slot: of n callers, slots*(1-exp(-n/slots)) slots are used.
	empty := max(callerSlots-active, 1)
	callers := callerSlots * math.Log(callerSlots/float64(empty))
	u.mean = sum / max(callers, 1)
}

// slot returns the count of a caller in a row.
func (u *CallerUse) slot(row int, caller [16]byte) *DecayingCounter {
	return &u.rows[row][siphash.Hash(callerKey, uint64(row), caller[:])%callerSlots]
}

// callerKey is the key of the hash, which need not be secret: who shares a caller's slots
// in one row does not in another.
const callerKey = 0x63616c6c6572
