package lhflow

import "time"

// Heartbeat records that the VM is running. It must be called several times per
// Limits.MaxPause; if it is never called, pauses are not detected.
func (e *Engine) Heartbeat(now time.Duration) {
	if e.pausedAt(now) {
		e.revokeRecords(now)
	}
	e.lastHeartbeat.Store(uint32(ticks(now)) | 1)
}

// Pauses returns how often the VM was suspended for longer than Limits.MaxPause.
func (e *Engine) Pauses() uint64 { return e.pauses.Load() }

func (e *Engine) pausedAt(now time.Duration) bool {
	last := tick(e.lastHeartbeat.Load())
	return last != 0 && ticks(now).sub(last) > e.limits.MaxPause
}

// revokeRecords makes the VM query another member about each record before it uses
// the record again, because the group may have taken over its flows during the pause.
func (e *Engine) revokeRecords(now time.Duration) {
	e.viewMu.Lock()
	defer e.viewMu.Unlock()
	if !e.pausedAt(now) {
		return
	}
	e.pauses.Add(1)
	for i := range e.table.shards {
		s := &e.table.shards[i]
		s.mu.Lock()
		s.each(func(_ ID, en *entry) {
			en.flags &^= owned
			en.leaseEnd = ticks(now)
		})
		s.mu.Unlock()
	}
	e.lastHeartbeat.Store(uint32(ticks(now)) | 1)
}
