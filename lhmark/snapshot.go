package lhmark

import "time"

// ServerSnapshot is what a VM has seen of a backend server.
type ServerSnapshot struct {
	// Held is the number of flows, Busy that of SYNs and requests in progress.
	Held, Busy int
	// Suspect is set while the server gets no new flow because it left SYNs unanswered.
	Suspect bool
	// Placed, Unanswered and Answered count SYNs since the server became known.
	Placed, Unanswered, Answered uint64
}

// Server returns what the VM has seen of a server.
func (e *Engine) Server(now time.Duration, number uint32) ServerSnapshot {
	g := e.ofNumber(number)
	g.mu.Lock()
	defer g.mu.Unlock()
	return ServerSnapshot{
		Held: g.held, Busy: g.busy, Suspect: g.suspect(now),
		Placed: g.placed, Unanswered: g.unanswered, Answered: g.answered,
	}
}
