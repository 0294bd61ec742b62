package lhwork

import "time"

// windowSlots is the number of slots that a window's lifetime is cut into.
const windowSlots = 4

// window counts what is under way and forgets what has been so for longer than a
// lifetime: a flow that is never answered must not hold a limit for ever. What is
// taken away is taken from the oldest slot that has any. The zero window is empty.
type window struct {
	// slots holds what was added in each part of the lifetime; slots[0] is the
	// latest. None is negative, and their sum is total.
	slots [windowSlots]int32
	total int32
	// expired is how much was under way for longer; it only ever grows.
	expired uint64
	// latest is the number of the time that slots[0] stands for.
	latest int64
}

// read returns the count at now.
func (w *window) read(now, lifetime time.Duration) float64 {
	w.advance(now, lifetime)
	return float64(w.total)
}

// add counts one more.
func (w *window) add(now, lifetime time.Duration) {
	w.advance(now, lifetime)
	w.slots[0]++
	w.total++
}

// remove counts one less, where there is any.
func (w *window) remove(now, lifetime time.Duration) {
	w.advance(now, lifetime)
	for i := windowSlots - 1; i >= 0; i-- {
		if w.slots[i] > 0 {
			w.slots[i]--
			w.total--
			return
		}
	}
}

// advance forgets the slots whose time is over.
func (w *window) advance(now, lifetime time.Duration) {
	number := int64(now / (lifetime / windowSlots))
	for steps := min(number-w.latest, windowSlots); steps > 0; steps-- {
		w.total -= w.slots[windowSlots-1]
		w.expired += uint64(w.slots[windowSlots-1])
		copy(w.slots[1:], w.slots[:windowSlots-1])
		w.slots[0] = 0
	}
	w.latest = max(number, w.latest)
}
