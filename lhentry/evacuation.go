package lhentry

import (
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// logEvacuations logs the evacuations that begin or end when a table replaces another.
func (e *Entry) logEvacuations(before, after *lhplace.Table) {
	inForce := make(map[string]int)
	for _, known := range before.Evacuations() {
		inForce[known.DataCentre] = len(known.Servers)
	}
	for _, known := range after.Evacuations() {
		if _, ok := inForce[known.DataCentre]; !ok {
			e.log.Info().Str("datacentre", known.DataCentre).Uint64("requested", after.Revision()).
				Int("servers", len(known.Servers)).Msg("evacuation in force")
		}
		delete(inForce, known.DataCentre)
	}
	for name, servers := range inForce {
		e.log.Info().Str("datacentre", name).Uint64("at", after.Revision()).Int("servers", servers).Msg("evacuation taken back")
	}
}

// evacuationStates returns the evacuations in force, with the flows of a snapshot.
func (e *Entry) evacuationStates(snap lhwork.Snapshot) []lhops.EvacuationState {
	table := e.table.Load()
	held := make(map[uint32]uint64)
	for _, service := range snap.Services {
		for _, server := range service.Servers {
			held[server.Number] = uint64(server.Held)
		}
	}
	var list []lhops.EvacuationState
	for _, known := range table.Evacuations() {
		state := lhops.EvacuationState{DataCentre: known.DataCentre, Revision: table.Revision(), Servers: len(known.Servers)}
		for _, s := range known.Servers {
			state.Flows += held[s.Number()]
		}
		list = append(list, state)
	}
	return list
}
