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

// markedStore is a Marked as the consumer of what its store holds.
type markedStore Marked

// Apply implements lhstore.Consumer.
func (s *markedStore) Apply(items []lhstore.Item) []lhstore.Item {
	m := (*Marked)(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	var told []lhstore.Item
	members := false
	for _, it := range items {
		if _, member := m.outside.Codec.MemberName(it.Key); member {
			members = m.takeMember(it) || members
			told = append(told, it)
			continue
		}
		if m.take(it) {
			told = append(told, it)
		}
	}
	if members {
		m.spread.SetMembers(slices.Collect(maps.Values(m.members)))
		m.engine.SetVMs(len(m.members))
	}
	m.update()
	return told
}

// Data implements lhstore.Consumer. The data is made anew from what it was decoded to.
func (s *markedStore) Data(key string) ([]byte, bool) {
	m := (*Marked)(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	data, err := m.encode(key)
	if err != nil {
		m.log.Error().Err(err).Str("key", key).Msg("item can't be encoded")
	}
	return data, data != nil
}

// encode returns the data of a key, or nil where there is none. The lock is held.
func (m *Marked) encode(key string) ([]byte, error) {
	codec := m.outside.Codec
	if codec.IsConfig(key) {
		return codec.EncodeConfig(m.directory.Config())
	}
	if name, ok := codec.MemberName(key); ok {
		if member, ok := m.members[name]; ok {
			return json.Marshal(member)
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
	return codec.EncodeServer(server)
}

// Refreshed implements lhstore.Consumer.
func (s *markedStore) Refreshed(revision uint64, age time.Duration) {
	m := (*Marked)(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counters.storeRevision.Store(revision)
	m.counters.storeKnown.Store(int64(m.now() - age))
	m.directory.Refresh(m.now(), age)
}

// ReachabilityChanged implements lhstore.Consumer.
func (s *markedStore) ReachabilityChanged(ok bool, cause error) {
	m := (*Marked)(s)
	if ok {
		m.log.Info().Str("platform", m.settings.Load().Platform).Msg("store answers")
		return
	}
	m.counters.storeLost.Add(1)
	m.log.Warn().Err(cause).Str("platform", m.settings.Load().Platform).Msg("store does not answer")
}

// takeMember takes the entry of a VM and reports whether that changes anything. The
// lock is held.
func (m *Marked) takeMember(it lhstore.Item) bool {
	name, _ := m.outside.Codec.MemberName(it.Key)
	before, known := m.members[name]
	if it.Deleted {
		delete(m.members, name)
		return known
	}
	var member lhspread.Member
	if err := json.Unmarshal(it.Data, &member); err != nil || member.Name != name || !member.Control.IsValid() {
		m.log.Warn().Err(err).Str("member", name).Uint64("at", it.Revision).Msg("entry of a VM ignored")
		return false
	}
	m.members[name] = member
	return member != before
}

// take takes the configuration or the entry of a server, and reports whether it says
// anything new. The lock is held.
func (m *Marked) take(it lhstore.Item) bool {
	codec := m.outside.Codec
	if codec.IsConfig(it.Key) {
		return !it.Deleted && m.takeConfig(it)
	}
	name, ok := codec.ServerName(it.Key)
	if !ok {
		return false
	}
	if it.Deleted {
		removed := m.directory.Remove(m.now(), name)
		if removed {
			m.log.Info().Str("server", name).Uint64("at", it.Revision).Msg("backend server removed")
		}
		return removed
	}
	server, err := codec.DecodeServer(name, it.Data)
	if err != nil {
		m.counters.badEntries.Add(1)
		m.lines.warn().Err(err).Str("server", name).Uint64("at", it.Revision).Msg("entry ignored")
		return false
	}
	changed := m.directory.Set(server)
	if changed {
		m.logServer(&server, it.Revision)
	}
	return changed
}

func (m *Marked) logServer(s *lhmark.Server, at uint64) {
	m.log.Info().Str("server", s.Name).Str("service", s.Service).Stringer("address", s.Address).
		Str("datacentre", s.DataCentre).Stringer("state", s.State).Dur("warmup", s.Warmup).
		Int64("born", s.StartedAt).Uint64("at", at).Msg("backend server")
}

func (m *Marked) takeConfig(it lhstore.Item) bool {
	cfg, err := m.outside.Codec.DecodeConfig(it.Data)
	if err != nil {
		m.log.Error().Err(err).Uint64("at", it.Revision).Msg("configuration has faults")
	}
	if cfg.Revision == 0 || !m.directory.SetConfig(cfg) {
		return false
	}
	m.log.Info().Uint64("revision", cfg.Revision).Int("routes", len(cfg.Routes)).
		Uint64("at", it.Revision).Msg("configuration in force")
	return true
}

// update puts what is known into force. The lock is held.
func (m *Marked) update() {
	m.engine.SetCurrent(m.directory.Current(m.now()))
	if t := m.directory.Table(m.now()); t != m.engine.Table() {
		m.engine.SetTable(m.now(), t)
	}
	select {
	case <-m.informed:
	default:
		if t := m.engine.Table(); t.Revision() != 0 && t.ServingCount() != 0 {
			close(m.informed)
		}
	}
}
