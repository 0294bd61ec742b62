package lhstore

import (
	"maps"
	"sync"
	"time"
)

// deletedLife is how long the revision of a removed key is kept, so that older news
// can't bring it back.
const deletedLife = time.Minute

// known is what a Mirror knows of its store. One goroutine changes it, and any may
// read a copy. The zero known is empty.
type known struct {
	mu sync.Mutex
	// keys holds the last change of each key.
	keys map[string]keyState
	// after is the revision up to which all changes are known, 0 for none, and asOf
	// when the store had it.
	after uint64
	asOf  time.Time
}

// keyState is the last change of a key; ended is set to the time of its removal.
type keyState struct {
	revision uint64
	ended    time.Time
}

// advance notes that all changes up to a revision are known.
func (k *known) advance(revision uint64, asOf time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.after, k.asOf = revision, asOf
}

// take notes items and returns those that are newer than what was known of their keys.
func (k *known) take(items []Item, now time.Time) []Item {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.keys == nil {
		k.keys = make(map[string]keyState)
	}
	var newer []Item
	for _, it := range items {
		if s, ok := k.keys[it.Key]; ok && it.Revision <= s.revision {
			continue
		}
		s := keyState{revision: it.Revision}
		if it.Deleted {
			s.ended = now
		}
		k.keys[it.Key] = s
		newer = append(newer, it)
	}
	maps.DeleteFunc(k.keys, func(_ string, s keyState) bool {
		return !s.ended.IsZero() && now.Sub(s.ended) > deletedLife
	})
	return newer
}

// missing returns the removals of the keys that a listing lacks.
func (k *known) missing(listed []Item, revision uint64) []Item {
	k.mu.Lock()
	defer k.mu.Unlock()
	there := make(map[string]bool, len(listed))
	for _, it := range listed {
		there[it.Key] = true
	}
	var gone []Item
	for key, s := range k.keys {
		if !there[key] && s.ended.IsZero() {
			gone = append(gone, Item{Key: key, Revision: max(revision, s.revision+1), Deleted: true})
		}
	}
	return gone
}

// present returns the keys that exist, without their data, and what is known of the
// store as a whole.
func (k *known) present(now time.Time) News {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := News{Revision: k.after, Age: now.Sub(k.asOf)}
	for key, s := range k.keys {
		if s.ended.IsZero() {
			n.Items = append(n.Items, Item{Key: key, Revision: s.revision})
		}
	}
	return n
}
