package lhwork

import "sync/atomic"

const (
	// depositsPerRetry is how many first tries pay for one retry.
	depositsPerRetry = 10
	// maxBalance is how many first tries a budget remembers, so that a quiet hour
	// doesn't pay for a storm of retries.
	maxBalance = 500
)

// RetryBudget limits retries to one tenth of first tries, at any time since the
// start. The zero RetryBudget is empty and ready for use.
type RetryBudget struct {
	// balance is the number of first tries not yet spent, from 0 to savedFirsts.
	balance atomic.Int64
	// withdrawn is the number of retries withdrawn; it only ever grows.
	withdrawn atomic.Uint64
}

// Withdrawn returns the number of retries taken so far.
func (b *RetryBudget) Withdrawn() uint64 { return b.withdrawn.Load() }

// Deposit notes a first try.
func (b *RetryBudget) Deposit() {
	for {
		n := b.balance.Load()
		if n >= maxBalance || b.balance.CompareAndSwap(n, n+1) {
			return
		}
	}
}

// Withdraw takes one retry out of the budget and reports whether there was one.
func (b *RetryBudget) Withdraw() bool {
	for {
		n := b.balance.Load()
		if n < depositsPerRetry {
			return false
		}
		if b.balance.CompareAndSwap(n, n-depositsPerRetry) {
			b.withdrawn.Add(1)
			return true
		}
	}
}
