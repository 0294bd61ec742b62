package lhflow

import (
	"sync"
	"time"
)

const (
	// refusalTTL is the minimum time for which a refusal is remembered.
	refusalTTL = 15 * time.Second
	// refusalLimit is the maximum number of refusals in one generation.
	refusalLimit = 1 << 18
)

// refusals records which SYNs were refused, so that their retransmissions are
// refused as well. Two generations of fingerprints bound its memory. The zero value
// is ready for use.
type refusals struct {
	mu sync.Mutex
	// current and previous are the two generations; either may be nil.
	current  map[uint64]struct{}
	previous map[uint64]struct{}
	// started is the start time of the current generation.
	started time.Duration
}

func (r *refusals) add(now time.Duration, id ID, isn uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	if r.current == nil {
		r.current = make(map[uint64]struct{})
	}
	r.current[fingerprint(id, isn)] = struct{}{}
}

func (r *refusals) has(now time.Duration, id ID, isn uint32) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rotate(now)
	f := fingerprint(id, isn)
	if _, ok := r.current[f]; ok {
		return true
	}
	_, ok := r.previous[f]
	return ok
}

// rotate starts a new generation if the current one is old or full.
func (r *refusals) rotate(now time.Duration) {
	if now-r.started < refusalTTL && len(r.current) < refusalLimit {
		return
	}
	if now-r.started >= 2*refusalTTL {
		r.current = nil
	}
	r.previous = r.current
	r.current = nil
	r.started = now
}

func fingerprint(id ID, isn uint32) uint64 {
	return id.Lo ^ uint64(isn)*0x9e3779b97f4a7c15
}
