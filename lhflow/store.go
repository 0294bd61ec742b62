package lhflow

import "time"

// swap replaces a record, unless it has changed meanwhile, and returns the one that
// stands.
func (e *Engine) swap(id ID, old, en entry) (entry, bool) {
	s := e.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	now, known := s.get(id)
	if !known || now != old {
		return now, false
	}
	e.storeLocked(s, id, en)
	return en, true
}

func (e *Engine) setCopied(id ID, copied uint16) {
	s := e.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if en := s.find(id); en != nil {
		en.copied = copied
	}
}

// storeLocked puts a record into the table; the shard's lock is held.
func (e *Engine) storeLocked(s *shard, id ID, en entry) {
	if s.put(id, en) {
		e.size.Add(1)
	}
}

// forget removes the record of a flow, unless another flow has its place by now, and
// counts the flow no more.
func (e *Engine) forget(now time.Duration, id ID, en entry) {
	s := e.table.shard(id)
	s.mu.Lock()
	old, known := s.get(id)
	if !known || old.isn != en.isn || old.server != en.server {
		s.mu.Unlock()
		return
	}
	s.remove(id)
	e.size.Add(-1)
	s.mu.Unlock()
	if old.has(counted) {
		e.tell(now, Ended, &old, [16]byte{})
	}
}
