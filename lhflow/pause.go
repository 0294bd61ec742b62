package lhflow

import "time"

// Beat says that the VM is running. A VM calls it several times in Limits.Pause;
// one that never calls it is taken to run all the time.
func (e *Engine) Beat(now time.Duration) {
	if e.pausedAt(now) {
		e.doubt(now)
	}
	e.beat.Store(uint32(ticks(now)) | 1)
}

// Pauses returns how often the VM has stood still for longer than Limits.Pause.
func (e *Engine) Pauses() uint64 { return e.pauses.Load() }

func (e *Engine) pausedAt(now time.Duration) bool {
	beat := tick(e.beat.Load())
	return beat != 0 && ticks(now).after(beat) > e.limits.Pause
}

// doubt makes the VM ask the other owner about each record before it uses it
// again: while the VM stood still, the group may have gone on without it.
func (e *Engine) doubt(now time.Duration) {
	e.sweep.Lock()
	defer e.sweep.Unlock()
	if !e.pausedAt(now) {
		return
	}
	e.pauses.Add(1)
	for i := range e.table.shards {
		s := &e.table.shards[i]
		s.mu.Lock()
		s.each(func(_ ID, en *entry) {
			en.marks &^= owned
			en.lease = ticks(now)
		})
		s.mu.Unlock()
	}
	e.beat.Store(uint32(ticks(now)) | 1)
}
