package lhwork

import "sync/atomic"

const (
	// depositsPerRetry is the number of first attempts that allow one retry.
	depositsPerRetry = 10
	// maxBalance is the number of first attempts that a budget accumulates, so that
	// a long period without retries doesn't allow a retry storm.
	maxBalance = 500
)

// RetryBudget limits retries to one tenth of first attempts, at any time since the
// start. The zero RetryBudget is empty and ready for use.
type RetryBudget struct {
	// balance is the number of first attempts not yet spent, from 0 to maxBalance.
	balance atomic.Int64
	// withdrawn is the number of retries granted; it is monotonic.
	withdrawn atomic.Uint64
}

// Withdrawn returns the number of retries granted so far.
func (b *RetryBudget) Withdrawn() uint64 { return b.withdrawn.Load() }

// Deposit records a first attempt.
func (b *RetryBudget) Deposit() {
	for {
		n := b.balance.Load()
		if n >= maxBalance || b.balance.CompareAndSwap(n, n+1) {
			return
		}
	}
}

// Withdraw takes one retry out of the budget and reports whether the balance allowed
// it.
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
