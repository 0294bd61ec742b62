package lhmark

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// maxRetransmitInterval is the longest time between two copies of a request, 1.6 s, and some
// more. A flow of which this VM has seen nothing for longer goes on through others.
const maxRetransmitInterval = 2 * time.Second

// recordEnded records whether a table has servers that have ended since the previous one.
func (e *Engine) recordEnded(previous, t *Table) {
	for number, ended := range t.ended {
		if ended && !previous.ended[number] {
			e.serversEnded.Store(true)
			return
		}
	}
}

// TakeEnded removes and returns the flows with a request in progress whose servers have ended
// since the last call, as the packets to be answered by a reset: their callers would learn it
// only when they retransmit. Requests that may run once at most are left to that, as a reset
// helps their callers little.
func (e *Engine) TakeEnded(now time.Duration) []lhflow.Event {
	if !e.detection.FollowUps || !e.serversEnded.CompareAndSwap(true, false) {
		return nil
	}
	t := e.table.Load()
	return e.takeInProgress(now, t, func(r *record) bool { return t.Ended(r.server) })
}

// takeInProgress removes and returns the selected flows with a request in progress that may be
// repeated, unless they go on through other VMs.
func (e *Engine) takeInProgress(now time.Duration, t *Table, selected func(*record) bool) []lhflow.Event {
	var found []lhflow.Event
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		for key, r := range s.records {
			if r.state == open && r.inFlight && selected(r) && now-r.lastSeen <= maxRetransmitInterval && t.idempotent(key) {
				found = append(found, lhflow.Event{Now: now, Key: key, Flags: lhflow.ACK, Seq: r.nextSeq, Ack: r.requestAck, Mark: r.server})
				e.removeFlow(now, s, key, r)
			}
		}
		s.mu.Unlock()
	}
	return found
}

// idempotent reports whether requests on a flow may be repeated.
func (t *Table) idempotent(key lhflow.Key) bool {
	r, ok := t.Route(key)
	return ok && r.Idempotent
}
