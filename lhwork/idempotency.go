package lhwork

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// RetryWindow is how long callers may repeat a unit with the same idempotency
	// key.
	RetryWindow = 2 * time.Minute

	idempotencyShards = 64
	// shardCapacity is how many keys a shard stores, and shardRefusedLimit is the
	// number of keys from which it stores no further refused ones.
	shardCapacity     = 4096
	shardRefusedLimit = shardCapacity / 2
)

// idempotencyTable stores the outcome of each idempotency key for the RetryWindow,
// so that a unit runs at most once. The zero idempotencyTable is that of a single
// VM.
//
// Every key has one owner among the members, including lost ones; other VMs answer
// "not known". So does an owner for a key that another VM may have owned before: it
// runs only units whose keys were issued after all VMs knew it as the owner, and
// units with other keys once the RetryWindow has passed since then. While a member
// is lost, no VM runs units whose keys the member owns, and a VM that has joined
// since runs none at all. Once the platform declares the member permanently gone,
// the next owner takes over in the same way. This holds as long as each side of a
// network partition keeps a member from before the partition, from which VMs that
// join there learn which members are lost.
type idempotencyTable struct {
	// mu guards owners; the value that it points to is immutable.
	mu     sync.RWMutex
	owners *ownership
	shards [idempotencyShards]idempotencyShard
}

// idempotencyShard stores its keys in the order in which they were first seen.
type idempotencyShard struct {
	mu       sync.Mutex
	outcomes map[IdempotencyKey]Outcome
	order    []keyExpiry
}

// keyExpiry is a key and the time until which its outcome is stored.
type keyExpiry struct {
	key     IdempotencyKey
	expires time.Duration
}

// IdempotencyKeyID returns the ID that determines the owner of a key in rendezvous
// order.
func IdempotencyKeyID(key IdempotencyKey) lhflow.ID {
	return lhflow.ID{Hi: binary.BigEndian.Uint64(key[:8]), Lo: binary.BigEndian.Uint64(key[8:])}
}

// Finish records that the admitted unit with the key has run to completion.
func (c *Controller) Finish(key IdempotencyKey) { c.outcomes.finish(key) }

// admitOnce decides on a unit with a key: by decide the first time, and by the
// stored outcome after that.
func (t *idempotencyTable) admitOnce(now time.Duration, u Unit, decide func() Decision) Decision {
	s := &t.shards[IdempotencyKeyID(u.IdempotencyKey).Lo%idempotencyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if o, ok := s.outcomes[u.IdempotencyKey]; ok {
		return Decision{Reason: ReasonRepeated, Outcome: o}
	}
	if len(s.order) >= shardCapacity || !t.mayRun(now, u) {
		return Decision{Reason: ReasonNotKnown}
	}
	d := decide()
	if !d.Admitted && len(s.order) >= shardRefusedLimit {
		// Without a record, a later copy could be admitted, so the caller must not
		// be told that the unit did not run.
		return Decision{Kind: d.Kind, Reason: ReasonNotKnown}
	}
	s.record(now, u.IdempotencyKey, outcomeOf(d))
	return d
}

func (t *idempotencyTable) finish(key IdempotencyKey) {
	s := &t.shards[IdempotencyKeyID(key).Lo%idempotencyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes[key] == OutcomeAdmitted {
		s.outcomes[key] = OutcomeDone
	}
}

// mayRun reports whether no other VM can have run the unit and no outcome of it can
// have expired here.
func (t *idempotencyTable) mayRun(now time.Duration, u Unit) bool {
	if u.IssuedAt != 0 && now-u.IssuedAt >= RetryWindow {
		return false
	}
	t.mu.RLock()
	o := t.owners
	t.mu.RUnlock()
	return o.exclusive(now, u)
}

// setMembers puts a new set of owners into force.
func (t *idempotencyTable) setMembers(now time.Duration, view *lhflow.View, lost []lhflow.MemberID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.owners = newOwnership(now, view, lost, t.owners)
}

// expire removes the expired keys.
func (s *idempotencyShard) expire(now time.Duration) {
	for len(s.order) > 0 && now >= s.order[0].expires {
		delete(s.outcomes, s.order[0].key)
		s.order = s.order[1:]
	}
}

func (s *idempotencyShard) record(now time.Duration, key IdempotencyKey, o Outcome) {
	if s.outcomes == nil {
		s.outcomes = map[IdempotencyKey]Outcome{}
	}
	s.outcomes[key] = o
	s.order = append(s.order, keyExpiry{key: key, expires: now + RetryWindow})
}

func outcomeOf(d Decision) Outcome {
	if d.Admitted {
		return OutcomeAdmitted
	}
	return OutcomeRefused
}
