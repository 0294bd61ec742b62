package lhstore

import (
	"context"
	"time"

	"github.com/rs/zerolog"
)

const (
	// AbsentTimeout is how long a VM must have been unreachable for another VM to remove
	// its entry: longer than a restart and than most partitions, short enough to limit the
	// calls that others waste on a VM that is gone.
	AbsentTimeout = 30 * time.Second
	// registerInterval is the time between two checks of the VM's own entry.
	registerInterval = 500 * time.Millisecond
	// registerVisibility is how long after a write the entry may be missing from the known
	// state of the store before it is written again. The VM learns its own write within a
	// few reads.
	registerVisibility = 6 * time.Second
	// minRegisterDelay is the delay after the first failed write. It doubles up to
	// registerVisibility.
	minRegisterDelay = time.Second
)

// Registry is a store in which VMs keep entries.
type Registry interface {
	// Put writes a key and returns the revision of the write.
	Put(ctx context.Context, key string, data []byte) (Revision, error)
	// Remove deletes a key if its last change has the given revision. Otherwise the error
	// has lhcode.PreconditionFailed. An error with lhcode.HistoryLost means that the store
	// has been restored since, and may have deleted an entry that was written later.
	Remove(ctx context.Context, key string, revision Revision) error
}

// Registrar maintains the entry of a VM in a store while the VM runs. The entry remains
// when the VM stops, so that a restart costs no calls. Other VMs remove it if the VM stays
// away for AbsentTimeout.
type Registrar struct {
	Store Registry
	Key   string
	Data  []byte
	// Listed reports whether the known state of the store has the entry, and the revision of
	// that state, which is zero if none is known.
	Listed func() (listed bool, at Revision)
	Log    zerolog.Logger
}

// Run writes the entry whenever the store lacks it until ctx ends. The returned channel
// then receives nil.
func (r Registrar) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		l := registrarLoop{Registrar: r, retryDelay: minRegisterDelay}
		for ctx.Err() == nil {
			l.check(ctx)
			sleep(ctx, registerInterval)
		}
		done <- nil
	}()
	return done
}

// registrarLoop is the state of a running Registrar.
type registrarLoop struct {
	Registrar
	// nextWrite is the earliest time of the next write, and retryDelay the delay after the
	// next failure.
	nextWrite  time.Time
	retryDelay time.Duration
	// written is the revision of the last successful write.
	written Revision
}

// check writes the entry if the store lacks it. A store that was restored since the last
// write has lost it, so that there is nothing to wait for.
func (l *registrarLoop) check(ctx context.Context) {
	listed, at := l.Listed()
	lost := !l.written.IsZero() && l.written.Era < at.Era
	if listed || at.IsZero() || !lost && time.Now().Before(l.nextWrite) {
		return
	}
	written, err := l.Store.Put(ctx, l.Key, l.Data)
	if err != nil {
		l.Log.Warn().Err(err).Str("key", l.Key).Dur("retry", l.retryDelay).Msg("failed to write entry in the store")
		l.nextWrite = time.Now().Add(l.retryDelay)
		l.retryDelay = min(2*l.retryDelay, registerVisibility)
		return
	}
	l.Log.Info().Str("key", l.Key).Stringer("at", written).Msg("entry in the store written")
	l.written = written
	l.nextWrite, l.retryDelay = time.Now().Add(registerVisibility), minRegisterDelay
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
