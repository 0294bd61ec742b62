package lhstore

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// memoryRegistry is a Registry that records when its key was written.
type memoryRegistry struct {
	mu     sync.Mutex
	writes []time.Duration
	start  time.Time
	// failing makes writes fail; listed is what the VM knows of its entry.
	failing, known, listed bool
	// era is that of the store.
	era uint64
}

func (m *memoryRegistry) Put(context.Context, string, []byte) (Revision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.writes = append(m.writes, time.Since(m.start))
	if m.failing {
		return Revision{}, lhcode.New(lhcode.StoreUnavailable, "down")
	}
	return m.at(), nil
}

// at returns the revision up to which the store is known. The caller holds m.mu.
func (m *memoryRegistry) at() Revision { return Revision{Era: m.era, Number: 5} }

func (m *memoryRegistry) Remove(context.Context, string, Revision) error { return nil }

// change changes what the store does and returns the times of the writes before.
func (m *memoryRegistry) change(f func()) (writes []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	writes, m.writes = m.writes, nil
	f()
	return writes
}

// run starts the Registrar of a VM.
func (m *memoryRegistry) run(ctx context.Context) <-chan error {
	return Registrar{
		Store: m, Key: "vm/a", Data: []byte("x"), Log: zerolog.Nop(),
		Listed: func() (bool, Revision) {
			m.mu.Lock()
			defer m.mu.Unlock()
			if !m.known {
				return false, Revision{}
			}
			return m.listed, m.at()
		},
	}.Run(ctx)
}

// TestRegistrarRestoredStore guards against a VM that stays without an entry for seconds
// because it counts a write as recent that a restored store has lost.
func TestRegistrarRestoredStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memoryRegistry{start: time.Now(), known: true, era: 1}
		ctx, cancel := context.WithCancel(context.Background())
		done := m.run(ctx)
		time.Sleep(time.Second)
		synctest.Wait()
		writes := m.change(func() { m.era = 2 })
		assert.Equal(t, len(writes), 1, "writes at %v", writes)
		time.Sleep(registerInterval)
		synctest.Wait()
		writes = m.change(func() {})
		assert.Equal(t, len(writes), 1, "writes at %v", writes)
		time.Sleep(registerVisibility - time.Second)
		synctest.Wait()
		writes = m.change(func() {})
		assert.Equal(t, len(writes), 0, "writes at %v", writes)
		cancel()
		assert.NilError(t, <-done)
	})
}

// TestRegistrar checks when a VM writes its entry.
func TestRegistrar(t *testing.T) {
	type step struct {
		failing, known, listed bool
		// writes is the number of writes within the 15 seconds of the step.
		writes int
	}
	cases := []struct {
		name  string
		steps []step
	}{
		{"first start", []step{{known: false}, {known: true, writes: 3}, {known: true, listed: true}}},
		{"restart under the same name and address", []step{{known: true, listed: true}}},
		{"entry removed by another VM", []step{{known: true, listed: true}, {known: true, writes: 3}, {known: true, listed: true}}},
		{"store unreachable", []step{{known: true, failing: true, writes: 5}, {known: true, writes: 2}, {known: true, listed: true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := &memoryRegistry{start: time.Now()}
				ctx, cancel := context.WithCancel(context.Background())
				done := m.run(ctx)
				for i, s := range c.steps {
					m.change(func() { m.failing, m.known, m.listed = s.failing, s.known, s.listed })
					time.Sleep(15 * time.Second)
					synctest.Wait()
					writes := m.change(func() {})
					assert.Equal(t, len(writes), s.writes, "step %d: writes after %v", i, writes)
				}
				cancel()
				assert.NilError(t, <-done)
			})
		})
	}
}
