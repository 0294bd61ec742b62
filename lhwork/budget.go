package lhwork

import "sync/atomic"

const (
	// firstsPerRetry is how many first tries pay for one retry.
	firstsPerRetry = 10
	// savedFirsts is how many first tries a budget remembers, so that a quiet hour
	// doesn't pay for a storm of retries.
	savedFirsts = 500
)

// Budget limits retries to one tenth of first tries, at any time since the
// start. The zero Budget is empty and ready for use.
type Budget struct {
	// saved is the number of first tries not yet spent, from 0 to savedFirsts.
	saved atomic.Int64
	// taken is the number of retries taken; it only ever grows.
	taken atomic.Uint64
}

// Taken returns the number of retries taken so far.
func (b *Budget) Taken() uint64 { return b.taken.Load() }

// First notes a first try.
func (b *Budget) First() {
	for {
		n := b.saved.Load()
		if n >= savedFirsts || b.saved.CompareAndSwap(n, n+1) {
			return
		}
	}
}

// Take takes one retry out of the budget and reports whether there was one.
func (b *Budget) Take() bool {
	for {
		n := b.saved.Load()
		if n < firstsPerRetry {
			return false
		}
		if b.saved.CompareAndSwap(n, n-firstsPerRetry) {
			b.taken.Add(1)
			return true
		}
	}
}
