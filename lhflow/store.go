package lhflow

import "time"

// compareAndSwap replaces a record if it still equals old, and returns the record
// that is then stored.
func (e *Engine) compareAndSwap(id ID, old, en entry) (entry, bool) {
	s := e.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	current, known := s.get(id)
	if !known || current != old {
		return current, false
	}
	e.storeLocked(s, id, en)
	return en, true
}

func (e *Engine) setCopiedTo(id ID, copied uint16) {
	s := e.table.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if en := s.find(id); en != nil {
		en.copiedTo = copied
	}
}

// storeLocked stores a record; the caller holds the shard's lock.
func (e *Engine) storeLocked(s *shard, id ID, en entry) {
	if s.put(id, en) {
		e.size.Add(1)
	}
}

// removeFlow removes the record of a flow and reports a counted flow as ended,
// unless the record belongs to another flow by now.
func (e *Engine) removeFlow(now time.Duration, id ID, en entry) {
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
		e.reportTransition(now, Ended, &old, [16]byte{})
	}
}
