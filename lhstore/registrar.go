package lhstore

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// EntryTTL is the time to live of a VM's entry after the last renewal of its lease:
	// long enough for the entry to survive an outage of the store, short enough to limit
	// the calls that others waste on a VM that is gone.
	EntryTTL = 30 * time.Second
	// renewalsPerTTL is how many times a lease is renewed within its time to live.
	renewalsPerTTL = 3
	// registerRetryDelay is the delay before the entry is registered again.
	registerRetryDelay = time.Second
	// revokeTimeout bounds the removal of the entry at a planned stop.
	revokeTimeout = 500 * time.Millisecond
)

// Lessor is a store with leases. When a lease ends, the store deletes the keys that
// were written under it.
type Lessor interface {
	// Grant returns a new lease and the time to live that the store granted.
	Grant(ctx context.Context, ttl time.Duration) (lease uint64, granted time.Duration, err error)
	// Renew renews a lease. The error has lhcode.LeaseLost if the lease has ended.
	Renew(ctx context.Context, lease uint64) error
	// Put writes a key under a lease. The error has lhcode.LeaseLost if the lease has
	// ended.
	Put(ctx context.Context, key string, data []byte, lease uint64) error
	// Revoke revokes a lease.
	Revoke(ctx context.Context, lease uint64) error
}

// Registrar maintains the entry of a VM in a store while the VM runs.
type Registrar struct {
	Store Lessor
	Key   string
	Data  []byte
	Log   zerolog.Logger
}

// Run maintains the entry until ctx ends and then removes it. The returned channel then
// receives nil.
func (r Registrar) Run(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for ctx.Err() == nil {
			lease, ttl, err := r.register(ctx)
			if err == nil {
				err = r.renew(ctx, lease, ttl)
			}
			if ctx.Err() == nil {
				r.Log.Warn().Err(err).Str("key", r.Key).Msg("entry in the store lost")
				sleep(ctx, registerRetryDelay)
			}
			if lease != 0 {
				r.revoke(ctx, lease)
			}
		}
		done <- nil
	}()
	return done
}

// register obtains a lease and writes the entry under it. If only the write fails, it
// returns the lease with the error.
func (r Registrar) register(ctx context.Context) (uint64, time.Duration, error) {
	lease, ttl, err := r.Store.Grant(ctx, EntryTTL)
	if err != nil {
		return 0, 0, err
	}
	if err := r.Store.Put(ctx, r.Key, r.Data, lease); err != nil {
		return lease, 0, err
	}
	r.Log.Info().Str("key", r.Key).Uint64("lease", lease).Dur("life", ttl).Msg("entry in the store written")
	return lease, ttl, nil
}

// renew renews the lease until ctx or the lease ends. Failed calls are retried, as the
// lease may outlast an outage of the store.
func (r Registrar) renew(ctx context.Context, lease uint64, ttl time.Duration) error {
	for {
		sleep(ctx, ttl/renewalsPerTTL)
		if ctx.Err() != nil {
			return nil
		}
		err := r.Store.Renew(ctx, lease)
		if lhcode.Of(err) == lhcode.LeaseLost {
			return err
		}
		if err != nil {
			r.Log.Debug().Err(err).Uint64("lease", lease).Msg("failed to renew lease")
		}
	}
}

// revoke ends a lease. If the store can't be reached, the lease expires instead.
func (r Registrar) revoke(ctx context.Context, lease uint64) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := r.Store.Revoke(ctx, lease); err != nil {
		r.Log.Debug().Err(err).Uint64("lease", lease).Msg("failed to revoke lease")
	}
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
