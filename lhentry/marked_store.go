package lhentry

import (
	"github.com/laburnumhollow/laburnumhollow/lhmark"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// markedStore is a Marked as the consumer of what its store holds.
type markedStore Marked

// Listed implements lhstore.Consumer.
func (s *markedStore) Listed(items []lhstore.Item) {
	m := (*Marked)(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	names := make(map[string]bool)
	for _, it := range items {
		m.take(it)
		if name, ok := m.outside.Codec.ServerName(it.Key); ok {
			names[name] = true
		}
	}
	for _, name := range m.directory.Retain(m.now(), names) {
		m.log.Info().Str("server", name).Msg("backend server not listed")
	}
	m.update()
}

// Changed implements lhstore.Consumer.
func (s *markedStore) Changed(items []lhstore.Item) {
	m := (*Marked)(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, it := range items {
		m.take(it)
	}
	m.update()
}

// Reached implements lhstore.Consumer.
func (s *markedStore) Reached(ok bool, cause error) {
	m := (*Marked)(s)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.directory.SetReached(m.now(), ok)
	m.engine.SetCurrent(m.directory.Current())
	if ok {
		m.log.Info().Str("platform", m.settings.Load().Platform).Msg("store answers")
		return
	}
	m.counters.storeLost.Add(1)
	m.log.Warn().Err(cause).Str("platform", m.settings.Load().Platform).Msg("store does not answer")
}

// take takes one item of the store. The lock is held.
func (m *Marked) take(it lhstore.Item) {
	codec := m.outside.Codec
	if codec.IsConfig(it.Key) {
		if !it.Deleted {
			m.takeConfig(it)
		}
		return
	}
	name, ok := codec.ServerName(it.Key)
	if !ok {
		return
	}
	if it.Deleted {
		if m.directory.Remove(m.now(), name) {
			m.log.Info().Str("server", name).Uint64("at", it.Revision).Msg("backend server removed")
		}
		return
	}
	server, err := codec.DecodeServer(name, it.Data)
	if err != nil {
		m.counters.badEntries.Add(1)
		m.lines.warn().Err(err).Str("server", name).Uint64("at", it.Revision).Msg("entry ignored")
		return
	}
	if m.directory.Set(server) {
		m.logServer(&server, it.Revision)
	}
}

func (m *Marked) logServer(s *lhmark.Server, at uint64) {
	m.log.Info().Str("server", s.Name).Str("service", s.Service).Stringer("address", s.Address).
		Str("datacentre", s.DataCentre).Stringer("state", s.State).Dur("warmup", s.Warmup).
		Int64("born", s.Born).Uint64("at", at).Msg("backend server")
}

func (m *Marked) takeConfig(it lhstore.Item) {
	cfg, err := m.outside.Codec.DecodeConfig(it.Data)
	if err != nil {
		m.log.Error().Err(err).Uint64("at", it.Revision).Msg("configuration has faults")
	}
	if cfg.Revision != 0 && m.directory.SetConfig(cfg) {
		m.log.Info().Uint64("revision", cfg.Revision).Int("routes", len(cfg.Routes)).
			Uint64("at", it.Revision).Msg("configuration in force")
	}
}

// update puts what is known into force. The lock is held.
func (m *Marked) update() {
	if t := m.directory.Table(m.now()); t != m.engine.Table() {
		m.engine.SetTable(m.now(), t)
	}
	select {
	case <-m.informed:
	default:
		if t := m.engine.Table(); t.Revision() != 0 && t.Servers() != 0 {
			close(m.informed)
		}
	}
}
