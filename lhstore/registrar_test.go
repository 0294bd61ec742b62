package lhstore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// memoryRegistry is a Registry that records when its key was written.
type memoryRegistry struct {
	writes []time.Duration
	start  time.Time
	// failing makes writes fail; listed is what the VM knows of its entry.
	failing, known, listed bool
}

func (m *memoryRegistry) Put(context.Context, string, []byte) error {
	m.writes = append(m.writes, time.Since(m.start))
	if m.failing {
		return lhcode.New(lhcode.StoreUnavailable, "down")
	}
	return nil
}

func (m *memoryRegistry) Remove(context.Context, string, uint64) error { return nil }

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
				done := Registrar{
					Store: m, Key: "vm/a", Data: []byte("x"), Log: zerolog.Nop(),
					Listed: func() (bool, bool) { return m.listed, m.known },
				}.Run(ctx)
				for i, s := range c.steps {
					m.failing, m.known, m.listed, m.writes = s.failing, s.known, s.listed, nil
					time.Sleep(15 * time.Second)
					synctest.Wait()
					assert.Equal(t, len(m.writes), s.writes, "step %d: writes after %v", i, m.writes)
				}
				cancel()
				assert.NilError(t, <-done)
			})
		})
	}
}
