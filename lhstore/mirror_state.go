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
	// revision is the store revision up to which all changes are known, zero for none.
	// asOf is when the store had that revision. Existing keys are of its era or a later one.
	revision Revision
	asOf     time.Time
	// newest is the latest revision in keys. It is later than revision if changes in
	// between may be missing.
	newest Revision
	// historyStart is the revision after which all deletions are in keys; not later than
	// revision once that is set.
	historyStart Revision
}

// keyState is the last change of a key. deletedAt is zero unless the change deleted it.
type keyState struct {
	revision  Revision
	deletedAt time.Time
}

// advance records that all changes up to a revision are known.
func (s *mirrorState) advance(revision Revision, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision, s.asOf = revision, asOf
}

// merge records items of an era. It returns those that are newer than the known state of their
// keys, and the others, which it ignores.
func (s *mirrorState) merge(era uint64, items []Item, now time.Time) (newer, known []Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.keys == nil {
		s.keys = make(map[string]keyState)
	}
	for _, it := range items {
		revision := Revision{Era: era, Number: it.Revision}
		if k, ok := s.keys[it.Key]; ok && revision.Compare(k.revision) <= 0 {
			known = append(known, it)
			continue
		}
		k := keyState{revision: revision}
		if it.Deleted {
			k.deletedAt = now
		}
		s.keys[it.Key] = k
		s.newest = later(s.newest, revision)
		newer = append(newer, it)
	}
	maps.DeleteFunc(s.keys, func(_ string, k keyState) bool {
		expired := !k.deletedAt.IsZero() && now.Sub(k.deletedAt) > tombstoneTTL
		if expired {
			s.historyStart = later(s.historyStart, k.revision)
		}
		return expired
	})
	return newer, known
}

// keyRevision returns the revision of the last known change of a key.
func (s *mirrorState) keyRevision(key string) Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.keys[key].revision
}

// startHistory records that the state results from a full listing at a revision, which
// does not show which keys were deleted before.
func (s *mirrorState) startHistory(revision Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.historyStart = later(s.historyStart, revision)
}

// deletions returns a deletion for each key known by the revision of a full listing that
// the listing does not contain.
func (s *mirrorState) deletions(listed []Item, revision Revision) []Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	present := make(map[string]bool, len(listed))
	for _, it := range listed {
		present[it.Key] = true
	}
	var deleted []Item
	for key, k := range s.keys {
		if present[key] || !k.deletedAt.IsZero() || k.revision.Compare(revision) > 0 {
			continue
		}
		number := revision.Number
		if k.revision == revision {
			number++
		}
		deleted = append(deleted, Item{Key: key, Revision: number, Deleted: true})
	}
	return deleted
}

// snapshot returns the keys that changed after a revision without their data, with the
// revision of the store up to which they are known and its age. If not all deletions since
// then are known, it returns all existing keys, and its After is zero.
func (s *mirrorState) snapshot(now time.Time, after Revision) Update {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after.Compare(s.historyStart) < 0 || after.Compare(s.revision) > 0 {
		after = Revision{}
	}
	u := Update{After: after, Revision: s.revision, Age: now.Sub(s.asOf)}
	for key, k := range s.keys {
		deleted := !k.deletedAt.IsZero()
		if k.revision.Compare(after) > 0 && (!after.IsZero() || !deleted) {
			u.Items = append(u.Items, Item{Key: key, Revision: k.revision.Number, Deleted: deleted})
		}
	}
	return u
}
