package lhflow

import (
	"sync"
	"time"
)

const (
	// refusalLife is how long a refusal is remembered at least.
	refusalLife = 15 * time.Second
	// refusalLimit is how many refusals one generation holds at most.
	refusalLimit = 1 << 18
)

// refusals remembers which SYNs were refused, so that a repeated one is refused
// again. It keeps two generations of fingerprints, which bounds its memory.
// The zero value is ready for use.
type refusals struct {
	mu sync.Mutex
	// current and previous are the two generations; either may be nil.
	current  map[uint64]struct{}
	previous map[uint64]struct{}
	// started is when the current generation began.
	started time.Duration
}

func (r *refusals) add(now time.Duration, id ID, isn uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	if r.current == nil {
		r.current = make(map[uint64]struct{})
	}
	r.current[fingerprint(id, isn)] = struct{}{}
}

func (r *refusals) has(now time.Duration, id ID, isn uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.turn(now)
	f := fingerprint(id, isn)
	if _, ok := r.current[f]; ok {
		return true
	}
	_, ok := r.previous[f]
	return ok
}

// turn begins a new generation when the current one is old or full.
func (r *refusals) turn(now time.Duration) {
	if now-r.started < refusalLife && len(r.current) < refusalLimit {
		return
	}
	if now-r.started >= 2*refusalLife {
		r.current = nil
	}
	r.previous = r.current
	r.current = nil
	r.started = now
}

func fingerprint(id ID, isn uint32) uint64 {
	return id.Lo ^ uint64(isn)*0x9e3779b97f4a7c15
}
