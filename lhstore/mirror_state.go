package lhstore

import (
	"maps"
	"sync"
	"time"
)

// tombstoneTTL is how long the revision of a deleted key is kept, so that an older
// update can't restore the key.
const tombstoneTTL = time.Minute

// mirrorState is the revision of each key that a Mirror has seen. One goroutine
// modifies it; any goroutine may take a snapshot. The zero mirrorState is empty.
type mirrorState struct {
	mu sync.Mutex
	// keys holds the last change of each key.
	keys map[string]keyState
	// revision is the store revision up to which all changes are known, 0 for none.
	// asOf is when the store had that revision.
	revision uint64
	asOf     time.Time
}

// keyState is the last change of a key. deletedAt is zero unless the change deleted it.
type keyState struct {
	revision  uint64
	deletedAt time.Time
}

// advance records that all changes up to a revision are known.
func (s *mirrorState) advance(revision uint64, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.asOf = revision, asOf
}

// merge records items and returns those that are newer than the known state of their
// keys.
func (s *mirrorState) merge(items []Item, now time.Time) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = make(map[string]keyState)
	}
	var newer []Item
	for _, it := range items {
		if k, ok := s.keys[it.Key]; ok && it.Revision <= k.revision {
			continue
		}
		k := keyState{revision: it.Revision}
		if it.Deleted {
			k.deletedAt = now
		}
		s.keys[it.Key] = k
		newer = append(newer, it)
	}
	maps.DeleteFunc(s.keys, func(_ string, k keyState) bool {
		return !k.deletedAt.IsZero() && now.Sub(k.deletedAt) > tombstoneTTL
	})
	return newer
}

// deletions returns a deletion for each known key that a full listing does not contain.
func (s *mirrorState) deletions(listed []Item, revision uint64) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(listed))
	for _, it := range listed {
		present[it.Key] = true
	}
	var deleted []Item
	for key, k := range s.keys {
		if !present[key] && k.deletedAt.IsZero() {
			deleted = append(deleted, Item{Key: key, Revision: max(revision, k.revision+1), Deleted: true})
		}
	}
	return deleted
}

// snapshot returns the existing keys without their data, with the revision of the store
// up to which they are known and its age.
func (s *mirrorState) snapshot(now time.Time) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	u := Update{Revision: s.revision, Age: now.Sub(s.asOf)}
	for key, k := range s.keys {
		if k.deletedAt.IsZero() {
			u.Items = append(u.Items, Item{Key: key, Revision: k.revision})
		}
	}
	return u
}
