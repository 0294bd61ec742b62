package lhstore

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// RegisterLife is how long the entry of a VM outlives it: long against an outage
	// of the store that it shall survive, short against the calls that others waste
	// on a VM that is gone.
	RegisterLife = 30 * time.Second
	// registerRenewals is how many times a lease is renewed within its life.
	registerRenewals = 3
	// registerRetry is the pause after a failed call.
	registerRetry = time.Second
	// unregisterTimeout bounds the removal of the entry at a planned stop.
	unregisterTimeout = 500 * time.Millisecond
)

// Lessor is a store with leases that remove the keys written under them.
type Lessor interface {
	// Grant returns a new lease and the life that it has.
	Grant(ctx context.Context, life time.Duration) (lease uint64, granted time.Duration, err error)
	// Keep renews a lease. The error has lhcode.LeaseLost where it has ended.
	Keep(ctx context.Context, lease uint64) error
	// Put writes a key under a lease. The error has lhcode.LeaseLost where it has ended.
	Put(ctx context.Context, key string, data []byte, lease uint64) error
	// End ends a lease.
	End(ctx context.Context, lease uint64) error
}

// Registrar keeps an entry in a store while its VM runs.
type Registrar struct {
	Store Lessor
	Key   string
	Data  []byte
	Log   zerolog.Logger
}

// Run keeps the entry until ctx ends and then removes it; the channel then gives nil.
func (r Registrar) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			lease, life, err := r.register(ctx)
			if err == nil {
				err = r.keep(ctx, lease, life)
			}
			if ctx.Err() == nil {
				r.Log.Warn().Err(err).Str("key", r.Key).Msg("entry in the store lost")
				sleep(ctx, registerRetry)
			}
			if lease != 0 {
				r.end(ctx, lease)
			}
		}
		done <- nil
	}()
	return done
}

func (r Registrar) register(ctx context.Context) (uint64, time.Duration, error) {
	lease, life, err := r.Store.Grant(ctx, RegisterLife)
	if err != nil {
		return 0, 0, err
	}
	if err := r.Store.Put(ctx, r.Key, r.Data, lease); err != nil {
		return lease, 0, err
	}
	r.Log.Info().Str("key", r.Key).Uint64("lease", lease).Dur("life", life).Msg("entry in the store written")
	return lease, life, nil
}

// keep renews the lease until ctx ends or the lease has. Calls that fail are made
// again: the lease may outlast an outage.
func (r Registrar) keep(ctx context.Context, lease uint64, life time.Duration) error {
	for {
		sleep(ctx, life/registerRenewals)
		if ctx.Err() != nil {
			return nil
		}
		err := r.Store.Keep(ctx, lease)
		if lhcode.Of(err) == lhcode.LeaseLost {
			return err
		}
		if err != nil {
			r.Log.Debug().Err(err).Uint64("lease", lease).Msg("lease not renewed")
		}
	}
}

// end gives up a lease. One that can't be reached ends by itself.
func (r Registrar) end(ctx context.Context, lease uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), unregisterTimeout)
	defer cancel()
	if err := r.Store.End(ctx, lease); err != nil {
		r.Log.Debug().Err(err).Uint64("lease", lease).Msg("lease not ended")
	}
}

// sleep waits for a time or for the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
