package lhpace

import "time"

// WindowLength is the time over which a VM counts the new flows that it sends to a cold
// server. It exceeds the second of the declared limit by a margin for packets that are
// delayed differently on their way to the server.
const WindowLength = 1100 * time.Millisecond

// Window holds the times of the latest new flows sent to one server. The zero Window is empty.
type Window struct {
	// sent is in ascending order.
	sent []time.Duration
}

// Allows reports whether one more flow may be sent without exceeding a number of flows in
// any WindowLength.
func (w *Window) Allows(now time.Duration, limit int) bool {
	if limit <= 0 {
		return false
	}
	return len(w.sent) < limit || now-w.sent[len(w.sent)-limit] >= WindowLength
}

// Add records a flow.
func (w *Window) Add(now time.Duration) {
	kept := w.sent[:0]
	for _, at := range w.sent {
		if now-at < WindowLength {
			kept = append(kept, at)
		}
	}
	w.sent = append(kept, now)
}
