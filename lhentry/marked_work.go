package lhentry

import (
	"fmt"

	"github.com/laburnumhollow/laburnumhollow/lhmark"
)

// workLimits holds the services whose work is limited, as of the last update. It is
// used by the goroutine that performs time-driven updates.
type workLimits map[string]bool

// update takes over the work of all services, and returns that of the first kind of each service
// whose work begins or ceases to be limited. A service without any is forgotten.
func (l workLimits) update(kinds []lhmark.WorkSnapshot) (changed []lhmark.WorkSnapshot) {
	known := make(map[string]bool)
	for _, k := range kinds {
		if known[k.Service] {
			continue
		}
		known[k.Service] = true
		// Single slow answers lower the factor a little all the time.
		limited := k.LimitFactor <= lhmark.MaxLimitFactor/2 || l[k.Service] && k.LimitFactor < lhmark.MaxLimitFactor
		if limited == l[k.Service] {
			continue
		}
		changed = append(changed, k)
		if limited {
			l[k.Service] = true
		} else {
			delete(l, k.Service)
		}
	}
	for service := range l {
		if !known[service] {
			delete(l, service)
		}
	}
	return changed
}

// logWork logs each service whose work begins or ceases to be limited.
func (m *Marked) logWork() {
	kinds := m.engine.Work(m.now())
	for _, k := range m.workLimited.update(kinds) {
		m.logLimit(k, kinds)
	}
}

// logLimit logs whether the work of a service is limited, with its kinds.
func (m *Marked) logLimit(service lhmark.WorkSnapshot, kinds []lhmark.WorkSnapshot) {
	beyondShare, excessive := m.engine.Throttled()
	line := m.log.Info().Str("service", service.Service).Float64("factor", service.LimitFactor).
		Uint64("beyond_share", beyondShare).Uint64("excessive", excessive)
	for _, k := range kinds {
		if k.Service == service.Service {
			line.Int64(fmt.Sprintf("urgency_%d", k.Urgency), k.InFlight)
		}
	}
	if m.workLimited[service.Service] {
		line.Msg("work limited")
		return
	}
	line.Msg("work no longer limited")
}
