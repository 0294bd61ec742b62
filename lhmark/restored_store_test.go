package lhmark

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

const (
	// rewriteTime is how long after a restore running servers have written their entries
	// again at the latest, and expiryTime how long the copied entry of another one lasts.
	rewriteTime = 2 * time.Second
	expiryTime  = 3600 * time.Millisecond
)

// restoredModel is a store that is restored from copies, the servers that write to it, and a
// VM's directory that reads it.
type restoredModel struct {
	now       time.Duration
	directory Directory
	// running holds the last report of each server that runs; entries and copied are the
	// contents of the store and of its copy, and read what the VM has read last.
	running, entries, copied, read map[string]Server
	// restoredAt is the time of the last restore, settled is unset until its effects are over,
	// and unread set until the VM has read the restored store.
	restoredAt      time.Duration
	settled, unread bool
	runs            int64
}

func newRestoredModel() *restoredModel {
	return &restoredModel{
		now: time.Second, settled: true,
		running: make(map[string]Server), entries: make(map[string]Server), copied: make(map[string]Server), read: make(map[string]Server),
	}
}

// start starts a run of a server.
func (m *restoredModel) start(n uint32) {
	m.runs++
	s := server(n, "a")
	s.StartedAt = m.runs
	m.running[s.Name] = s
	m.report(s.Name)
}

// report writes the next report of a running server.
func (m *restoredModel) report(name string) {
	s := m.running[name]
	s.Sequence++
	m.running[name], m.entries[name] = s, s
}

// drain lets a server report that it is draining.
func (m *restoredModel) drain(name string) {
	s := m.running[name]
	s.State = lhconf.Draining
	m.running[name] = s
	m.report(name)
}

// end ends a server and removes its entry.
func (m *restoredModel) end(name string) {
	delete(m.running, name)
	delete(m.entries, name)
}

func (m *restoredModel) restore() {
	m.entries = maps.Clone(m.copied)
	m.restoredAt, m.settled, m.unread = m.now, false, true
}

// rewrite writes the entry of a running server as it was before a restore.
func (m *restoredModel) rewrite(name string) {
	if s, ok := m.running[name]; ok {
		m.entries[name] = s
	}
}

// advance lets time pass. Running servers write their entries again in time, and those of
// others expire.
func (m *restoredModel) advance(d time.Duration) {
	m.now += d
	if m.settled || m.now-m.restoredAt < rewriteTime {
		return
	}
	for name := range m.running {
		m.rewrite(name)
	}
	if m.now-m.restoredAt < expiryTime {
		return
	}
	m.settled = true
	maps.DeleteFunc(m.entries, func(name string, _ Server) bool {
		_, ok := m.running[name]
		return !ok
	})
}

// update lets the VM read the store: all of it after a restore, otherwise what has changed.
func (m *restoredModel) update() {
	m.directory.Refresh(m.now, 0)
	if m.unread {
		m.directory.Restored(m.now)
	}
	for name, s := range m.entries {
		if before, ok := m.read[name]; !ok || m.unread || before != s {
			m.directory.Set(s)
		}
	}
	for name := range m.read {
		if _, ok := m.entries[name]; !ok {
			m.directory.Remove(m.now, name)
		}
	}
	m.read, m.unread = maps.Clone(m.entries), false
}

// check fails if a running server is taken as ended, or a draining one gets new flows. seen
// holds the last report of each server that the VM has read.
func (m *restoredModel) check(t *rapid.T, seen map[string]Server) {
	table := m.directory.Table(m.now)
	for _, s := range m.running {
		last, read := seen[s.Name]
		if !read || last.StartedAt != s.StartedAt {
			continue
		}
		if table.Ended(s.Number) {
			t.Fatalf("%s runs and counts as ended", s.Name)
		}
		if current, ok := table.Server(s.Number); last.State == lhconf.Draining && ok && current.State == lhconf.Serving {
			t.Fatalf("%s is draining and gets new flows", s.Name)
		}
	}
}

// TestRestoredDirectory guards, over random reports, ends and restores, against a running
// server that counts as ended, a draining one that gets new flows, and a directory that does
// not agree with the store in the end.
func TestRestoredDirectory(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		m, seen := newRestoredModel(), make(map[string]Server)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			n := rapid.Uint32Range(1, 3).Draw(r, "server")
			name := server(n, "a").Name
			_, runs := m.running[name]
			switch rapid.IntRange(0, 8).Draw(r, "step") {
			case 0, 1:
				if !runs || rapid.Bool().Draw(r, "restart") {
					m.start(n)
				}
			case 2:
				if runs {
					m.drain(name)
				}
			case 3:
				m.end(name)
			case 4:
				m.copied = maps.Clone(m.entries)
			case 5:
				m.restore()
			case 6:
				m.rewrite(name)
			default:
				m.advance(time.Duration(rapid.IntRange(0, 3000).Draw(r, "ms")) * time.Millisecond)
			}
			if rapid.Bool().Draw(r, "read") {
				m.update()
				for name, s := range m.read {
					if known, ok := seen[name]; !ok || s.StartedAt > known.StartedAt || s.StartedAt == known.StartedAt && s.Sequence > known.Sequence {
						seen[name] = s
					}
				}
				m.check(r, seen)
			}
		}
		for range 6 {
			m.advance(2 * time.Second)
			m.update()
			m.check(r, seen)
		}
		table := m.directory.Table(m.now)
		for _, n := range []uint32{1, 2, 3} {
			s, runs := m.running[server(n, "a").Name]
			current, known := table.Server(n)
			serving := known && !table.Ended(n) && current.State == lhconf.Serving
			assert.Equal(r, serving, runs && s.State == lhconf.Serving, "server %d", n)
		}
	})
}
