package lhentry

import (
	"maps"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// markedCounters holds the counters of a Marked process, which never decrease.
type markedCounters struct {
	received, invalid, sendFailed, placed, placedAgain, storeLost, ignoredEntries atomic.Uint64
	probes, probesFailed                                                          atomic.Uint64
	stalls, overdue, unfollowed, domainsSuspected                                 atomic.Uint64
	// speedChanges counts clear changes of a server's speed.
	speedChanges atomic.Uint64
	// pacesBegun and pacesFull count servers whose pace began and became full, and limited
	// SYNs that are refused for a declared limit.
	pacesBegun, pacesFull, limited atomic.Uint64
	// storeRevision is the revision up to which the state of the store is known; nil for
	// none.
	storeRevision atomic.Pointer[lhstore.Revision]
	// storeTime is the monotonic time at which that state was current, in nanoseconds.
	storeTime atomic.Int64
	actions   [lhflow.Reset + 1]atomic.Uint64
	reasons   [lhflow.ReasonCount]atomic.Uint64
}

// knownRevision returns the revision up to which the state of the store is known; zero for
// none.
func (c *markedCounters) knownRevision() lhstore.Revision {
	if at := c.storeRevision.Load(); at != nil {
		return *at
	}
	return lhstore.Revision{}
}

// values returns all counters by name.
func (c *markedCounters) values() map[string]uint64 {
	sums := map[string]uint64{
		countNames[CountReceived]:   c.received.Load(),
		countNames[CountSendFailed]: c.sendFailed.Load(),
		countNames[CountToServer]:   c.actions[lhflow.ToServer].Load(),
		countNames[CountRefused]:    c.actions[lhflow.Refuse].Load(),
		countNames[CountReset]:      c.actions[lhflow.Reset].Load(),
		"packets_invalid":           c.invalid.Load(),
		"flows_placed":              c.placed.Load(),
		"flows_placed_again":        c.placedAgain.Load(),
		"store_lost":                c.storeLost.Load(),
		"entries_ignored":           c.ignoredEntries.Load(),
		"speed_changes":             c.speedChanges.Load(),
		"stalls":                    c.stalls.Load(),
		"probes":                    c.probes.Load(),
		"probes_failed":             c.probesFailed.Load(),
		"syns_overdue":              c.overdue.Load(),
		"syns_unfollowed":           c.unfollowed.Load(),
		"domains_suspected":         c.domainsSuspected.Load(),
		"paces_begun":               c.pacesBegun.Load(),
		"paces_full":                c.pacesFull.Load(),
		"flows_limited":             c.limited.Load(),
	}
	for i := 1; i < len(c.reasons); i++ {
		sums["reason_"+reasonNames[i]] = c.reasons[i].Load()
	}
	return sums
}

// Health implements lhops.Source.
func (m *Marked) Health() lhops.Health {
	t := m.engine.Table()
	switch {
	case m.leaving.Load():
		return lhops.Health{State: lhops.Leaving, Reason: "planned stop"}
	case t.Revision() == 0:
		return lhops.Health{State: lhops.Starting, Reason: "no configuration in force"}
	case t.ServingCount()+t.WithheldCount() == 0:
		return lhops.Health{State: lhops.Starting, Reason: "no backend server known"}
	}
	return lhops.Health{State: lhops.Serving}
}

// Dump implements lhops.Source.
func (m *Marked) Dump() lhops.Dump {
	t := m.engine.Table()
	d := lhops.Dump{
		VM:         m.settings.Load().Name,
		DataCentre: m.settings.Load().DataCentre,
		Health:     m.Health(),
		Revision:   t.Revision(),
		Table: lhops.TableState{
			Flows: uint64(m.engine.Len()),
			Limit: uint64(m.settings.Load().Flows),
		},
		Counters: m.counters.values(),
	}
	maps.Copy(d.Counters, m.spread.Counters())
	at := m.counters.knownRevision()
	d.Counters["store_era"], d.Counters["store_revision"] = at.Era, at.Number
	d.Counters["lines_omitted"] = m.flowLog.omitted.Load()
	d.Evacuations = m.evacuationStates(t)
	d.Counters["throttled_share"], d.Counters["throttled_caller"] = m.engine.Throttled()
	for name, servers := range t.Serving() {
		state := lhops.ServiceState{Name: name, Proto: lhflow.TCP}
		for _, s := range servers {
			snap := m.engine.Server(m.now(), s.Number)
			state.Flows += uint64(snap.OpenFlows)
			server := lhops.ServerState{
				Number: s.Number, Name: s.Name, DataCentre: s.DataCentre, State: s.State, Flows: uint64(snap.OpenFlows),
				Pace: snap.Pace, Cold: snap.Cold.Milliseconds(),
			}
			if m.settings.Load().Speeds {
				server.Slowness = snap.Slowness
			}
			state.Servers = append(state.Servers, server)
		}
		d.Services = append(d.Services, state)
	}
	slices.SortFunc(d.Services, func(a, b lhops.ServiceState) int { return strings.Compare(a.Name, b.Name) })
	return d
}
