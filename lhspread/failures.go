package lhspread

import (
	"sync"
	"time"
)

// skipTime is how long a VM that could not be reached is skipped. It asks others for
// changes within that time.
const skipTime = 2 * time.Second

// failures holds the VMs whose last call has failed. The zero failures is empty.
type failures struct {
	mu sync.Mutex
	// byName holds for each VM the failures since its last successful call.
	byName map[string]failure
}

// failure is a number of failed calls in a row.
type failure struct {
	member Member
	// since is when the first call failed, and skipUntil until when no further is made.
	since, skipUntil time.Time
}

// skipped reports whether a VM is not called because a call has just failed.
func (f *failures) skipped(m Member, now time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return now.Before(f.byName[m.Name].skipUntil)
}

// record records a failed call and returns the time since the first one in a row.
func (f *failures) record(m Member, now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.byName[m.Name]
	if !ok || entry.member != m {
		entry = failure{member: m, since: now}
	}
	entry.skipUntil = now.Add(skipTime)
	if f.byName == nil {
		f.byName = make(map[string]failure)
	}
	f.byName[m.Name] = entry
	return now.Sub(entry.since)
}

// clear records a successful call.
func (f *failures) clear(m Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.byName, m.Name)
}

// retain removes the VMs that are not members and allows calls to the others again.
func (f *failures) retain(members []Member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := make(map[string]failure)
	for _, m := range members {
		if entry, ok := f.byName[m.Name]; ok && entry.member == m {
			entry.skipUntil = time.Time{}
			kept[m.Name] = entry
		}
	}
	f.byName = kept
}
