package lhwork

import "time"

// windowSlots is the number of slots into which the lifetime of a window is divided.
const windowSlots = 4

// Window is a sliding-window count of operations in progress. It drops those older
// than a lifetime, because a flow that is never answered must not occupy a limit
// forever. Removals are taken from the oldest slot that isn't empty. The zero Window
// is empty.
type Window struct {
	// slots holds what was added in each interval of the lifetime; slots[0] is the
	// latest. None is negative, and their sum is total.
	slots [windowSlots]int32
	total int32
	// expired counts the operations that were dropped after a lifetime; it is
	// monotonic.
	expired uint64
	// latest is the number of the interval of slots[0].
	latest int64
}

// Read returns the count at now.
func (w *Window) Read(now, lifetime time.Duration) float64 {
	w.advance(now, lifetime)
	return float64(w.total)
}

// Add increments the count.
func (w *Window) Add(now, lifetime time.Duration) {
	w.advance(now, lifetime)
	w.slots[0]++
	w.total++
}

// Remove decrements the count unless it is zero.
func (w *Window) Remove(now, lifetime time.Duration) {
	w.advance(now, lifetime)
	for i := windowSlots - 1; i >= 0; i-- {
		if w.slots[i] > 0 {
			w.slots[i]--
			w.total--
			return
		}
	}
}

// advance drops the slots that are older than the lifetime.
func (w *Window) advance(now, lifetime time.Duration) {
	number := int64(now / (lifetime / windowSlots))
	for steps := min(number-w.latest, windowSlots); steps > 0; steps-- {
		w.total -= w.slots[windowSlots-1]
		w.expired += uint64(w.slots[windowSlots-1])
		copy(w.slots[1:], w.slots[:windowSlots-1])
		w.slots[0] = 0
	}
	w.latest = max(number, w.latest)
}
