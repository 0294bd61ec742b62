package lhentry

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// placer is what the engine asks about servers.
type placer struct{ entry *Entry }

// Place implements lhflow.Placer.
func (p placer) Place(_ time.Duration, id lhflow.ID, key lhflow.Key, tried uint32) lhflow.Placement {
	service, ok := p.entry.table.Load().Service(key)
	if !ok {
		return lhflow.Placement{Reason: lhflow.ReasonNoService}
	}
	var best uint32
	var high float64
	for _, s := range service.Servers() {
		score := lhplace.Score(id, s.Number(), float64(s.Weight()))
		if !s.Serving() || s.Number() == tried || score <= high {
			continue
		}
		best, high = s.Number(), score
	}
	if best == 0 {
		return lhflow.Placement{Reason: lhflow.ReasonNoServer}
	}
	return lhflow.Placement{Server: best}
}

// Holds implements lhflow.Placer.
func (p placer) Holds(server uint32, key lhflow.Key) bool {
	table := p.entry.table.Load()
	s, ok := table.Server(server)
	if !ok {
		return false
	}
	service, ok := table.Service(key)
	return ok && s.Service() == service
}

// Declared implements lhflow.Placer.
func (p placer) Declared(server uint32) bool {
	_, ok := p.entry.table.Load().Server(server)
	return ok
}

// Accepts implements lhflow.Placer.
func (p placer) Accepts(server uint32) bool {
	s, ok := p.entry.table.Load().Server(server)
	return ok && s.Serving()
}

// Retry implements lhflow.Placer.
func (p placer) Retry(time.Duration) bool { return true }

// Opened implements lhflow.Placer.
func (p placer) Opened(time.Duration, uint32, uint16) {}

// Answered implements lhflow.Placer.
func (p placer) Answered(time.Duration, uint32, time.Duration) {}

// Refused implements lhflow.Placer.
func (p placer) Refused(time.Duration, uint32) {}

// Silent implements lhflow.Placer.
func (p placer) Silent(time.Duration, uint32) {}

// Closed implements lhflow.Placer.
func (p placer) Closed(time.Duration, uint32, uint16) {}
