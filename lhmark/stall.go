package lhmark

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxUnnoticedStall is the longest time without a sign of life that is no stall: the time
	// after which callers send the first copy of a SYN. One that has waited for less can't
	// have reached another VM.
	maxUnnoticedStall = 200 * time.Millisecond
	// drainTimeout bounds the time after a stall in which SYNs are suspected. A VM that
	// needs longer to empty its socket is overloaded.
	drainTimeout = time.Second
	// StallCheckInterval is the time between two calls of StallDetector.Observe that are due
	// without a SYN. A processor that is withheld for a tenth of a second is no stall.
	StallCheckInterval = 50 * time.Millisecond
)

// StallDetector determines which SYNs may have waited in the socket while the process stood
// still, because it was stopped, or its VM suspended or starved. The attempts that they belong
// to may have ended, or have opened a flow through another VM. It is safe for concurrent use; the
// zero StallDetector has observed nothing. All times are of one clock, which counts while the
// process stands still.
type StallDetector struct {
	mu sync.Mutex
	// last is when the process ran last, zero for never.
	last time.Duration
	// resumed is the end of the last stall.
	resumed time.Duration
	// draining is set while the socket may hold packets from before resumed.
	draining atomic.Bool
}

// Observe records that the process runs. It returns how long it has stood still before, or zero if
// that was short, and whether a SYN that is read now may have waited meanwhile.
func (s *StallDetector) Observe(now time.Duration) (stood time.Duration, waited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gap := now - s.last
	if s.last != 0 && gap > maxUnnoticedStall {
		stood, s.resumed = gap, now
		s.draining.Store(true)
	}
	s.last = max(s.last, now)
	if now-s.resumed >= drainTimeout {
		s.draining.Store(false)
	}
	return stood, s.draining.Load()
}

// Draining reports whether the reader of the socket has to look whether it is empty.
func (s *StallDetector) Draining() bool { return s.draining.Load() }

// Drained records that the socket was found empty by its reader, who had read the clock before it looked
// and has handled all that it has read.
func (s *StallDetector) Drained(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at >= s.resumed {
		s.draining.Store(false)
	}
}
