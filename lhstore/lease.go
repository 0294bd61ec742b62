package lhstore

import (
	"context"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// LeaseTTL is the time after which the platform expires a lease that is not renewed.
	LeaseTTL = 30 * time.Second
	// LeaseMargin is the time before the expiry of a lease from which its holder no
	// longer acts. It covers clock differences and the latency of a call.
	LeaseMargin = 10 * time.Second
)

// Granter grants leases.
type Granter interface {
	Grant(ctx context.Context, name, holder string, life time.Duration) (fence uint64, err error)
	Release(ctx context.Context, name, holder string) error
}

// Lease is an exclusive right to act that expires by its holder's clock. As a holder
// may be paused between checking its clock and its next write, its writes must also
// carry the fencing token. The zero Lease has expired.
type Lease struct {
	// fence is the fencing token. It is higher than that of every earlier holder; 0 in
	// the zero Lease.
	fence uint64
	// expires is when the holder stops acting. It is computed from the time before the
	// request to the platform and is LeaseMargin before the platform expires the lease.
	expires time.Time
}

// NewLease returns a lease with a fencing token that was requested at the given time.
func NewLease(fence uint64, requested time.Time) Lease {
	return Lease{fence: fence, expires: requested.Add(LeaseTTL - LeaseMargin)}
}

// AcquireLease acquires the lease of a name, or renews it for its holder.
func AcquireLease(ctx context.Context, from Granter, name, holder string, clock func() time.Time) (Lease, error) {
	requested := clock()
	fence, err := from.Grant(ctx, name, holder, LeaseTTL)
	if err != nil {
		return Lease{}, err
	}
	return NewLease(fence, requested), nil
}

// Fence returns the fencing token.
func (l Lease) Fence() uint64 { return l.fence }

// Check returns an error with lhcode.LeaseLost once the lease has expired.
func (l Lease) Check(now time.Time) error {
	if l.fence == 0 || !now.Before(l.expires) {
		return lhcode.Newf(lhcode.LeaseLost, "lease with fencing token %d has expired", l.fence)
	}
	return nil
}
