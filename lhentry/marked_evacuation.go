package lhentry

import (
	"github.com/laburnumhollow/laburnumhollow/lhmark"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// applyEvacuation applies the key that requests the evacuation of a data centre. The key alone
// is the request, whatever its data. The caller holds m.mu.
func (m *Marked) applyEvacuation(item lhstore.Item, dataCentre string) {
	if dataCentre == "" {
		m.counters.ignoredEntries.Add(1)
		m.log.Warn().Str("key", item.Key).Uint64("at", item.Revision).Msg("evacuation without a data centre ignored")
		return
	}
	if item.Deleted {
		m.directory.EndEvacuation(dataCentre)
		if known, ok := m.directory.Evacuation(dataCentre); ok && known.Doubtful {
			m.log.Warn().Str("datacentre", dataCentre).Uint64("at", item.Revision).
				Msg("evacuation missing from the restored store; it stays in force for now")
		}
		return
	}
	if err := m.deps.Codec.CheckEvacuation(item.Data); err != nil {
		m.log.Warn().Err(err).Str("datacentre", dataCentre).Uint64("at", item.Revision).Msg("evacuation has an unreadable value and is honoured")
	}
	if !m.directory.Evacuate(dataCentre, item.Revision) {
		m.log.Info().Str("datacentre", dataCentre).Uint64("at", item.Revision).Msg("evacuation requested again")
	}
}

// logEvacuations logs the evacuations that begin or end when a table replaces another.
func (m *Marked) logEvacuations(before, after *lhmark.Table) {
	inForce := make(map[string]lhmark.Evacuation)
	for _, known := range before.Evacuations() {
		inForce[known.DataCentre] = known
	}
	at := m.counters.knownRevision()
	for _, known := range after.Evacuations() {
		if _, ok := inForce[known.DataCentre]; !ok {
			m.log.Info().Str("datacentre", known.DataCentre).Uint64("requested", known.Revision).Stringer("at", at).
				Int("servers", len(after.ServersIn(known.DataCentre))).Msg("evacuation in force")
		}
		delete(inForce, known.DataCentre)
	}
	for name, known := range inForce {
		m.log.Info().Str("datacentre", name).Uint64("requested", known.Revision).Stringer("at", at).Bool("doubtful", known.Doubtful).
			Int("servers", len(after.ServersIn(name))).Msg("evacuation taken back")
	}
}

// evacuationStates returns the evacuations in force for a dump.
func (m *Marked) evacuationStates(t *lhmark.Table) []lhops.EvacuationState {
	var list []lhops.EvacuationState
	for _, known := range t.Evacuations() {
		state := lhops.EvacuationState{DataCentre: known.DataCentre, Revision: known.Revision, Doubtful: known.Doubtful}
		for _, s := range t.ServersIn(known.DataCentre) {
			state.Servers++
			state.Flows += uint64(m.engine.Server(m.now(), s.Number).OpenFlows)
		}
		list = append(list, state)
	}
	return list
}
