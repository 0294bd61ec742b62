package lhstore

import (
	"context"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// LeaseLife is how long the platform keeps a lease that is not prolonged.
	LeaseLife = 30 * time.Second
	// LeaseMargin is the part of a lease's life in which its holder no longer acts.
	// It covers the difference between the two clocks and the way of a call.
	LeaseMargin = 10 * time.Second
)

// Granter gives leases.
type Granter interface {
	Grant(ctx context.Context, name, holder string, life time.Duration) (fence uint64, err error)
	Yield(ctx context.Context, name, holder string) error
}

// Lease is the right to be the only one that acts, for as long as its holder may
// trust its own clock. A holder can be paused between the check of its clock and
// what it does next, so that what it writes must also carry the fencing number.
// The zero Lease has lapsed.
type Lease struct {
	// fence is higher than that of every earlier holder; 0 in the zero Lease.
	fence uint64
	// until is when the holder stops to act. It counts from before the platform
	// was asked, and lies the margin before the platform's own end.
	until time.Time
}

// NewLease returns a lease with a fencing number, asked for at the given time.
func NewLease(fence uint64, asked time.Time) Lease {
	return Lease{fence: fence, until: asked.Add(LeaseLife - LeaseMargin)}
}

// AcquireLease asks for the lease of a name, or prolongs it for its holder.
func AcquireLease(ctx context.Context, from Granter, name, holder string, clock func() time.Time) (Lease, error) {
	asked := clock()
	fence, err := from.Grant(ctx, name, holder, LeaseLife)
	if err != nil {
		return Lease{}, err
	}
	return NewLease(fence, asked), nil
}

// Fence returns the fencing number.
func (l Lease) Fence() uint64 { return l.fence }

// Check returns an error with lhcode.LeaseLost once the holder may no longer act.
func (l Lease) Check(now time.Time) error {
	if l.fence == 0 || !now.Before(l.until) {
		return lhcode.Newf(lhcode.LeaseLost, "lease %d has lapsed", l.fence)
	}
	return nil
}
