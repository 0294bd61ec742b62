package lhentry

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhmark"
	"github.com/laburnumhollow/laburnumhollow/lhspread"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// storeConsumer is a Marked as the consumer of its store.
type storeConsumer Marked

// Apply implements lhstore.Consumer.
func (s *storeConsumer) Apply(items []lhstore.Item) []lhstore.Item {
	m := (*Marked)(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	var forwarded []lhstore.Item
	membersChanged := false
	for _, item := range items {
		if _, member := m.deps.Codec.MemberName(item.Key); member {
			membersChanged = m.applyMember(item) || membersChanged
			forwarded = append(forwarded, item)
			continue
		}
		if dataCentre, ok := m.deps.Codec.EvacuatedDataCentre(item.Key); ok {
			m.applyEvacuation(item, dataCentre)
			forwarded = append(forwarded, item)
			continue
		}
		if m.applyItem(item) {
			forwarded = append(forwarded, item)
		}
	}
	if membersChanged {
		m.spread.SetMembers(slices.Collect(maps.Values(m.members)))
		m.engine.SetVMs(len(m.members))
		m.shareWarmup()
	}
	m.publish()
	return forwarded
}

// Data implements lhstore.Consumer. It encodes the decoded state again.
func (s *storeConsumer) Data(key string) ([]byte, bool) {
	m := (*Marked)(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.encode(key)
	if err != nil {
		m.log.Error().Err(err).Str("key", key).Msg("cannot encode item")
	}
	return data, data != nil
}

// encode returns the data of a key, or nil if there is none. The caller holds m.mu.
func (m *Marked) encode(key string) ([]byte, error) {
	codec := m.deps.Codec
	if codec.IsConfig(key) {
		return codec.EncodeConfig(m.directory.Config())
	}
	if name, ok := codec.MemberName(key); ok {
		if member, ok := m.members[name]; ok {
			return json.Marshal(member)
		}
		return nil, nil
	}
	if dataCentre, ok := codec.EvacuatedDataCentre(key); ok {
		if _, inForce := m.directory.Evacuation(dataCentre); inForce {
			return codec.EncodeEvacuation()
		}
		return nil, nil
	}
	name, ok := codec.ServerName(key)
	if !ok {
		return nil, nil
	}
	server, ok := m.directory.Server(name)
	if !ok {
		return nil, nil
	}
	server.Warmup = m.engine.Warmup(m.now(), server.Number)
	return codec.EncodeServer(server)
}

// Refreshed implements lhstore.Consumer.
func (s *storeConsumer) Refreshed(revision lhstore.Revision, age time.Duration) {
	m := (*Marked)(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	known := m.counters.knownRevision()
	m.counters.storeRevision.Store(&revision)
	m.counters.storeTime.Store(int64(m.now() - age))
	m.directory.Refresh(m.now(), age)
	m.engine.SetAsOf(m.now() - age)
	if !known.IsZero() && known.Era != revision.Era {
		m.log.Warn().Stringer("known", known).Stringer("at", revision).Msg("store was restored from a copy")
		m.directory.Restored(m.now())
	}
}

// ReachabilityChanged implements lhstore.Consumer.
func (s *storeConsumer) ReachabilityChanged(ok bool, cause error) {
	m := (*Marked)(s)
	if ok {
		m.log.Info().Str("platform", m.settings.Load().Platform).Msg("store answers")
		return
	}
	m.counters.storeLost.Add(1)
	m.log.Warn().Err(cause).Str("platform", m.settings.Load().Platform).Msg("store does not answer")
}

// applyMember applies the entry of a VM and reports whether it changes anything. The
// caller holds m.mu.
func (m *Marked) applyMember(item lhstore.Item) bool {
	name, _ := m.deps.Codec.MemberName(item.Key)
	previous, existed := m.members[name]
	if item.Deleted {
		delete(m.members, name)
		return existed
	}
	var member lhspread.Member
	if err := json.Unmarshal(item.Data, &member); err != nil || member.Name != name || !member.Control.IsValid() {
		m.log.Warn().Err(err).Str("member", name).Uint64("at", item.Revision).Msg("VM entry ignored")
		return false
	}
	m.members[name] = member
	return member != previous
}

// applyItem applies the configuration or the entry of a server and reports whether it
// changes anything. The caller holds m.mu.
func (m *Marked) applyItem(item lhstore.Item) bool {
	codec := m.deps.Codec
	if codec.IsConfig(item.Key) {
		return !item.Deleted && m.applyConfig(item)
	}
	name, ok := codec.ServerName(item.Key)
	if !ok {
		return false
	}
	if item.Deleted {
		removed := m.directory.Remove(m.now(), name)
		if removed {
			m.log.Info().Str("server", name).Uint64("at", item.Revision).
				Bool("doubtful", m.directory.Doubtful(name)).Msg("backend server removed")
		}
		return removed
	}
	decode := codec.DecodeServer
	if item.Copy {
		decode = codec.DecodeServerCopy
	}
	server, err := decode(name, item.Data)
	if err != nil {
		m.counters.ignoredEntries.Add(1)
		m.flowLog.warn().Err(err).Str("server", name).Uint64("at", item.Revision).Msg("entry ignored")
		return false
	}
	changed := m.directory.Set(server)
	changed = m.engine.RecordReport(m.now(), &server) || changed
	if changed {
		m.logServer(&server, item.Revision)
	}
	return changed
}

// logServer logs the entry of a server in the store. The caller holds m.mu.
func (m *Marked) logServer(s *lhmark.Server, revision uint64) {
	m.log.Info().Str("server", s.Name).Str("service", s.Service).Stringer("address", s.Address).
		Str("datacentre", s.DataCentre).Stringer("state", s.State).Dur("warmup", s.Warmup).
		Int64("born", s.StartedAt).Uint64("at", revision).
		Bool("doubtful", m.directory.Doubtful(s.Name)).Msg("backend server")
}

func (m *Marked) applyConfig(item lhstore.Item) bool {
	cfg, err := m.deps.Codec.DecodeConfig(item.Data)
	if err != nil {
		m.log.Error().Err(err).Uint64("at", item.Revision).Msg("configuration has faults")
	}
	if cfg.Revision == 0 || !m.directory.SetConfig(cfg) {
		return false
	}
	m.log.Info().Uint64("revision", cfg.Revision).Int("routes", len(cfg.Routes)).Int("limited", limitedServices(cfg)).
		Uint64("at", item.Revision).Msg("configuration in force")
	return true
}

// publish updates the engine from the directory. The caller holds m.mu.
func (m *Marked) publish() {
	m.engine.SetCurrent(m.directory.Current(m.now()))
	if t, before := m.directory.Table(m.now()), m.engine.Table(); t != before {
		m.engine.SetTable(m.now(), t)
		m.logEvacuations(before, t)
		m.resetEnded()
	}
	select {
	case <-m.initialized:
	default:
		if t := m.engine.Table(); t.Revision() != 0 && t.ServingCount()+t.WithheldCount() != 0 {
			close(m.initialized)
		}
	}
}
