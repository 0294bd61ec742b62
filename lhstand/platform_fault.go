package lhstand

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// Backup is a state of the keys to return to.
type Backup struct{ keys map[string]lhstore.Value }

type faults struct {
	down  bool
	delay time.Duration
	// lose counts the writes whose reply is still to be lost, after skip others.
	lose, skip int
	rate       int
	lag        time.Duration
}

// SetDown makes the platform drop every call, waiting watches included.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.down = down
	if down {
		p.endWatches()
	}
}

// SetDelay makes the platform wait before it carries out a call.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.delay = delay
}

// LoseReplies lets skip writes pass, then carries out count writes without
// answering them.
func (p *Platform) LoseReplies(skip, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.skip, p.faults.lose = skip, count
}

// SetRate limits the calls that are carried out in a second; 0 is no limit.
func (p *Platform) SetRate(calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.rate = calls
}

// SetLag makes the list of VMs show the state of so long ago.
func (p *Platform) SetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.lag = lag
}

// EndWatches drops the connections of the watches that wait now.
func (p *Platform) EndWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endWatches()
}

// Backup returns the present state of the keys.
func (p *Platform) Backup() Backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Backup{keys: maps.Clone(p.keys)}
}

// Restore returns the keys to an earlier state, under new ETags.
func (p *Platform) Restore(b Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys = maps.Clone(b.keys)
	for key, value := range p.keys {
		p.keys[key] = lhstore.Value{Data: value.Data, ETag: p.nextTag()}
	}
	p.wake()
}

// admit counts a call, applies the faults that come before it is carried out and
// reports whether the rate limit permits it, and the epoch that it was counted in: a
// watch that has been counted is ended with those that wait. A call is dropped by the
// panic that net/http knows for it. A slow write goes on when its caller has given up.
func (p *Platform) admit(r *http.Request) (epoch uint64, ok bool) {
	p.mu.Lock()
	p.count(r)
	epoch = p.epoch
	delay := p.faults.delay
	limited := p.overRate()
	p.mu.Unlock()
	if limited {
		return epoch, false
	}
	ctx := r.Context()
	if r.Method != http.MethodGet {
		ctx = context.WithoutCancel(ctx)
	}
	sleep(ctx, delay)
	p.mu.Lock()
	down := p.faults.down
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	return epoch, true
}

func (p *Platform) overRate() bool {
	if second := p.now().Unix(); second != p.second {
		p.second, p.spent = second, 0
	}
	p.spent++
	if p.faults.rate == 0 || p.spent <= p.faults.rate {
		return false
	}
	p.counts.Limited++
	return true
}

func (p *Platform) losesReply() bool {
	if p.faults.skip > 0 {
		p.faults.skip--
		return false
	}
	if p.faults.lose == 0 {
		return false
	}
	p.faults.lose--
	return true
}

func (p *Platform) endWatches() {
	p.epoch++
	p.wake()
}
