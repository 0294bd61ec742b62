package lhmark

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// ServerSnapshot is what a VM has observed of a backend server.
type ServerSnapshot struct {
	// OpenFlows is the number of open flows, and InFlight that of SYNs and requests in progress.
	OpenFlows, InFlight int
	// Suspect is set while the server gets no new flow because it left SYNs unanswered.
	Suspect bool
	// Placed, Unanswered and Answered count SYNs since the server became known.
	Placed, Unanswered, Answered uint64
	// Slowness is the expected time of an answer relative to the usual one, and QuickShare
	// the share of answers that came too soon for work.
	Slowness, QuickShare float64
	// Pace is the part of its usual new flows that the server may get while that is limited;
	// 0 if it isn't. Cold is how long it stays cold at most.
	Pace float64
	Cold time.Duration
}

// Server returns what the VM has observed of a server.
func (e *Engine) Server(now time.Duration, number uint32) ServerSnapshot {
	stats := e.statsByNumber(number)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	snapshot := ServerSnapshot{
		OpenFlows: stats.openFlows, InFlight: stats.inFlight, Suspect: stats.suspect(now),
		Placed: stats.placed, Unanswered: stats.unanswered, Answered: stats.answered,
		Slowness: stats.speed.factor(), QuickShare: stats.speed.quickShare,
		Cold: max(stats.coldUntil()-now, 0),
	}
	if stats.pace != nil {
		snapshot.Pace = stats.pace.Part(now)
	}
	return snapshot
}

// WorkSnapshot is what a VM has in progress of a kind of work at a service.
type WorkSnapshot struct {
	Service string
	Urgency lhconf.Urgency
	// InFlight is the number of flows with an unanswered SYN or request, and Demand the mean
	// of what would be in progress if none were throttled.
	InFlight int64
	Demand   float64
	// LimitFactor is the work limit of the service as a multiple of its lowest value.
	LimitFactor float64
}

// Work returns what the VM has in progress of each kind of work. There is none unless kinds
// of work share their services.
func (e *Engine) Work(now time.Duration) []WorkSnapshot {
	if !e.limits.Shares {
		return nil
	}
	var all []WorkSnapshot
	e.admission.work.Range(func(key, value any) bool {
		k, w := key.(workKey), value.(*workLoad)
		all = append(all, WorkSnapshot{
			Service: k.service, Urgency: k.urgency, InFlight: int64(w.progress(now)), Demand: w.demand(now),
			LimitFactor: e.admission.limit(k.service).factor(),
		})
		return true
	})
	return all
}

// Throttled returns how many units of work were throttled because their kind had its share
// in progress, and because their caller used much more than others.
func (e *Engine) Throttled() (beyondShare, excessive uint64) {
	return e.admission.beyondShare.Load(), e.admission.excessive.Load()
}
