package lhstand

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// Backup is a snapshot of the keys for Restore and RestoreETags.
type Backup struct {
	keys     map[string]lhstore.Value
	lastETag uint64
}

type platformFaults struct {
	down  bool
	delay time.Duration
	// repliesToLose is the number of writes whose reply is still to be dropped, after
	// writesToSkip others.
	repliesToLose, writesToSkip int
	rateLimit                   int
	vmListLag                   time.Duration
}

// SetDown makes the platform drop every call, including pending watches.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.down = down
	if down {
		p.endWatchesLocked()
	}
}

// SetDelay delays the execution of each call.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.delay = delay
}

// LoseReplies executes skip writes normally and then count writes whose replies are
// dropped.
func (p *Platform) LoseReplies(skip, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.writesToSkip, p.faults.repliesToLose = skip, count
}

// SetRateLimit limits the number of calls executed per second; 0 means no limit.
func (p *Platform) SetRateLimit(calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.rateLimit = calls
}

// SetVMListLag makes the list of VMs lag behind SetVMs by a duration.
func (p *Platform) SetVMListLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.vmListLag = lag
}

// EndWatches drops the connections of the current watches.
func (p *Platform) EndWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endWatchesLocked()
}

// Backup returns a snapshot of the keys.
func (p *Platform) Backup() Backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Backup{keys: maps.Clone(p.keys), lastETag: p.lastETag}
}

// Restore resets the keys to a snapshot, with new ETags.
func (p *Platform) Restore(b Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys = maps.Clone(b.keys)
	for key, value := range p.keys {
		p.keys[key] = lhstore.Value{Data: value.Data, ETag: p.nextETag()}
	}
	p.notifyWatches()
}

// RestoreETags resets the keys to a snapshot with the ETags that they had. Later ETags are
// given out again, and leases and their fencing tokens are lost.
func (p *Platform) RestoreETags(b Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys, p.lastETag = maps.Clone(b.keys), b.lastETag
	p.leases, p.fencingTokens = nil, nil
	p.notifyWatches()
}

// admit counts a call, applies the faults that precede its execution and reports
// whether the rate limit permits it. It also returns the watch epoch at the time of
// counting, so that EndWatches also ends a watch that is counted but not waiting
// yet. A call is dropped by panicking with http.ErrAbortHandler. A delayed write is
// executed even if its client has given up.
func (p *Platform) admit(r *http.Request) (epoch uint64, ok bool) {
	p.mu.Lock()
	p.countCall(r)
	epoch = p.watchEpoch
	delay := p.faults.delay
	limited := p.exceedsRateLimit()
	p.mu.Unlock()
	if limited {
		return epoch, false
	}
	ctx := r.Context()
	if r.Method != http.MethodGet {
		ctx = context.WithoutCancel(ctx)
	}
	sleepContext(ctx, delay)
	p.mu.Lock()
	down := p.faults.down
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	return epoch, true
}

func (p *Platform) exceedsRateLimit() bool {
	if second := p.now().Unix(); second != p.rateSecond {
		p.rateSecond, p.callsInSecond = second, 0
	}
	p.callsInSecond++
	if p.faults.rateLimit == 0 || p.callsInSecond <= p.faults.rateLimit {
		return false
	}
	p.counts.RateLimited++
	return true
}

func (p *Platform) shouldLoseReply() bool {
	if p.faults.writesToSkip > 0 {
		p.faults.writesToSkip--
		return false
	}
	if p.faults.repliesToLose == 0 {
		return false
	}
	p.faults.repliesToLose--
	return true
}

func (p *Platform) endWatchesLocked() {
	p.watchEpoch++
	p.notifyWatches()
}
