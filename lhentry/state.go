package lhentry

import (
	"fmt"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// Health implements lhops.Source.
func (e *Entry) Health() lhops.Health {
	switch {
	case e.leaving.Load():
		return lhops.Health{State: lhops.Leaving, Reason: "planned stop"}
	case e.table.Load().Revision() == 0:
		return lhops.Health{State: lhops.Starting, Reason: "no configuration in force"}
	case !e.joined():
		return lhops.Health{State: lhops.Starting, Reason: "joining the group"}
	}
	return lhops.Health{State: lhops.Serving}
}

// joined reports whether the VM owns flows.
func (e *Entry) joined() bool {
	view := e.engine.View()
	self, ok := view.Member(view.Self)
	return ok && self.State == lhflow.Active
}

// Dump implements lhops.Source.
func (e *Entry) Dump() lhops.Dump {
	position := e.runner.Position()
	view := e.engine.View()
	snap := e.work.Snapshot(e.now())
	return lhops.Dump{
		VM:            e.settings.Name,
		DataCentre:    e.settings.DataCentre,
		Group:         e.settings.Group,
		Health:        e.Health(),
		Authenticated: e.keys != nil,
		Revision:      e.table.Load().Revision(),
		Digest:        fmt.Sprintf("%016x", position.Digest),
		View:          view.Version,
		Members:       memberStates(view),
		Services:      e.serviceStates(snap),
		Work:          workStates(snap),
		Evacuations:   e.evacuationStates(snap),
		Table: lhops.TableState{
			Flows:   uint64(e.engine.Len()),
			Limit:   uint64(e.settings.Flows),
			Bytes:   uint64(e.engine.Len()) * lhflow.RecordBytes,
			Pending: e.pending(view),
		},
		Counters: e.counterValues(snap),
	}
}

// pending returns the number of records that are still to be handed over to members.
func (e *Entry) pending(view *lhflow.View) uint64 {
	sum := int(e.inFlightRecords.Load())
	for _, m := range view.Members {
		sum += e.engine.Pending(m.ID)
	}
	return uint64(sum)
}

func memberStates(view *lhflow.View) []lhops.MemberState {
	list := make([]lhops.MemberState, 0, len(view.Members))
	for _, m := range view.Members {
		list = append(list, lhops.MemberState{
			ID:         m.ID,
			Name:       m.Name,
			DataCentre: m.DataCentre,
			State:      m.State,
			Data:       m.Data,
			Control:    m.Control,
		})
	}
	return list
}

func (e *Entry) serviceStates(snap lhwork.Snapshot) []lhops.ServiceState {
	table := e.table.Load()
	snapshots := make(map[string]lhwork.ServiceSnapshot, len(snap.Services))
	for _, s := range snap.Services {
		snapshots[s.Name] = s
	}
	var list []lhops.ServiceState
	for _, s := range table.Services() {
		state := lhops.ServiceState{
			Name:    s.Name(),
			Address: s.Address(),
			Proto:   s.Proto(),
			Flows:   uint64(snapshots[s.Name()].Held),
		}
		for _, b := range snapshots[s.Name()].Servers {
			state.Servers = append(state.Servers, e.serverState(b))
		}
		list = append(list, state)
	}
	return list
}

func (e *Entry) serverState(b lhwork.ServerSnapshot) lhops.ServerState {
	state := lhops.ServerState{
		Number: b.Number,
		Name:   b.Name,
		Flows:  uint64(b.Held),
		Limit:  uint64(b.Limit),
		Cold:   b.Cold.Milliseconds(),
	}
	if b.Warmth < 1 {
		state.Pace = b.Warmth
	}
	if s, ok := e.table.Load().Server(b.Number); ok {
		state.DataCentre = s.DataCentre()
		state.State, state.Evacuated = s.State(), s.Evacuated()
	}
	return state
}

func workStates(snap lhwork.Snapshot) []lhops.WorkState {
	var list []lhops.WorkState
	for _, s := range snap.Services {
		for _, k := range s.Kinds {
			state := lhops.WorkState{
				Kind:     k.Name,
				Service:  s.Name,
				Flows:    uint64(k.Held),
				Admitted: k.Admitted,
			}
			for _, n := range k.Refused {
				state.Refused += n
			}
			list = append(list, state)
		}
	}
	return list
}

// addRefused adds the numbers of units that admission control refused, by reason.
func addRefused(sums map[string]uint64, snap lhwork.Snapshot) {
	for _, s := range snap.Services {
		for _, k := range s.Kinds {
			for reason, n := range k.Refused {
				sums["refused_"+reason] += n
			}
		}
	}
}

// counterValues returns all counters by name.
func (e *Entry) counterValues(snap lhwork.Snapshot) map[string]uint64 {
	sums := make(map[string]uint64)
	for _, w := range e.workers {
		w.addTo(sums)
	}
	addRefused(sums, e.work.Snapshot(e.now()))
	c := e.node.Counters()
	sums["control_bytes_out"] = c.BytesOut
	sums["control_bytes_in"] = c.BytesIn
	sums["records_handed_over"] = c.RecordsOut
	sums["records_received"] = c.RecordsIn
	sums["peer_pings"] = c.Pings
	sums["peer_failures"] = c.Failures
	sums["peer_suspicions"] = c.Suspicions
	sums["peer_deaths"] = c.Deaths
	sums["peer_rejoins"] = c.Rejoins
	sums["view_changes"] = c.Views
	sums["pauses"] = e.engine.Pauses()
	sums["report_calls"] = e.reports.calls.Load()
	sums["report_failures"] = e.reports.failures.Load()
	sums["report_contradictions"] = contradictions(snap)
	if e.keys != nil {
		k := e.keys.Counters()
		sums["keys_renewed"] = k.Reloads
		sums["keys_not_renewed"] = k.FailedReloads
		sums["handshakes_failed"] = k.FailedHandshakes
	}
	s := e.runner.State()
	sums["store_failures"] = s.Counts.Failed
	sums["store_lower"] = s.Counts.Lower
	sums["store_parted"] = s.Counts.Diverged
	return sums
}

// contradictions returns the number of load reports that contradicted the VM's own
// observations.
func contradictions(snap lhwork.Snapshot) uint64 {
	var sum uint64
	for _, service := range snap.Services {
		for _, server := range service.Servers {
			sum += server.Contradictions
		}
	}
	return sum
}
