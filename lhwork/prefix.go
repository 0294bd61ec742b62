package lhwork

import (
	"encoding/binary"
	"math"
	"sync"
	"time"
)

const (
	// MaxHandshakeTimeout is the timeout of a half-open flow while there are few.
	MaxHandshakeTimeout = 10 * time.Second
	// MinHandshakeTimeout is the timeout of a half-open flow however many there are.
	MinHandshakeTimeout = 50 * time.Millisecond
	// prefixFraction is the fraction of the limit of half-open flows that callers of
	// one prefix may use.
	prefixFraction = 1.0 / 8
	// minPrefixLimit is the lower bound of the limit of half-open flows of one
	// prefix.
	minPrefixLimit = 64

	prefixShards = 64
	prefixSlots  = 64
)

// prefixCounter counts half-open flows by caller prefix: 24 bits of IPv4, 48 of
// IPv6. Prefixes whose hashes collide are counted together. The zero prefixCounter
// is empty.
type prefixCounter struct {
	shards [prefixShards]prefixShard
}

type prefixShard struct {
	mu    sync.Mutex
	slots [prefixSlots]Window
}

func (p *prefixCounter) read(now time.Duration, caller [16]byte) float64 {
	shard, slot := p.locate(caller)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	return shard.slots[slot].Read(now, MaxHandshakeTimeout)
}

func (p *prefixCounter) add(now time.Duration, caller [16]byte) {
	shard, slot := p.locate(caller)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.slots[slot].Add(now, MaxHandshakeTimeout)
}

func (p *prefixCounter) remove(now time.Duration, caller [16]byte) {
	shard, slot := p.locate(caller)
	shard.mu.Lock()
	defer shard.mu.Unlock()
	shard.slots[slot].Remove(now, MaxHandshakeTimeout)
}

func (p *prefixCounter) locate(caller [16]byte) (shard *prefixShard, slot int) {
	h := prefixHash(caller)
	return &p.shards[h%prefixShards], int(h / prefixShards % prefixSlots)
}

func prefixHash(caller [16]byte) uint64 {
	prefix := binary.BigEndian.Uint64(caller[:8]) >> 16
	if prefix == 0 {
		// An IPv4-mapped address has the IPv4 address in its last four bytes.
		prefix = uint64(binary.BigEndian.Uint32(caller[12:]) >> 8)
	}
	prefix *= 0x9e3779b97f4a7c15
	return prefix ^ prefix>>32
}

// handshakeTimeout decreases from MaxHandshakeTimeout to MinHandshakeTimeout while
// the half-open flows grow from a quarter to three quarters of their limit.
func (p *pool) handshakeTimeout(now time.Duration) time.Duration {
	fill := p.halfOpen.Read(now, MaxHandshakeTimeout) / p.halfOpenLimit()
	fall := min(max(2*fill-0.5, 0), 1)
	ratio := float64(MinHandshakeTimeout) / float64(MaxHandshakeTimeout)
	return time.Duration(float64(MaxHandshakeTimeout) * math.Pow(ratio, fall))
}
