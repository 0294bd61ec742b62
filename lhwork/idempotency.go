package lhwork

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// RetryWindow is how long callers may repeat a unit under the same identity.
	RetryWindow = 2 * time.Minute

	idempotencyShards = 64
	// shardCapacity is how many identities a shard keeps, and shardRefused is how
	// many it may hold before it keeps refused ones no more.
	shardCapacity     = 4096
	shardRefusedLimit = shardCapacity / 2
)

// idempotencyTable keeps the outcome of each identity for the RetryHorizon, so that a unit
// runs once at most. The zero idempotencyTable is that of a VM on its own.
//
// Every identity has one owner among the members, lost ones included; the others
// answer "not known". So does an owner for an identity that another VM may have
// owned before: it runs only identities minted after all VMs knew it as the owner,
// and others once the RetryHorizon has passed since then. While a member is lost,
// nobody runs the identities that it owns, and a VM that has joined since runs
// none; should the platform say that the member is gone for good, the next owner
// takes over in the same way. This holds as long as each side of a cut keeps a
// member from before it, of which those that join there learn who is lost.
type idempotencyTable struct {
	// mu guards owners, which is replaced and never changed.
	mu     sync.RWMutex
	owners *ownership
	shards [idempotencyShards]idempotencyShard
}

// idempotencyShard keeps its identities in the order of their first sight.
type idempotencyShard struct {
	mu       sync.Mutex
	outcomes map[IdempotencyKey]Outcome
	order    []keyExpiry
}

// keyExpiry is an identity with the time until which its outcome is kept.
type keyExpiry struct {
	key     IdempotencyKey
	expires time.Duration
}

// IdempotencyKeyID returns the ID by which the members' order finds an identity's owner.
func IdempotencyKeyID(key IdempotencyKey) lhflow.ID {
	return lhflow.ID{Hi: binary.BigEndian.Uint64(key[:8]), Lo: binary.BigEndian.Uint64(key[8:])}
}

// Finish records that an admitted identity has run to its end.
func (c *Controller) Finish(key IdempotencyKey) { c.outcomes.finish(key) }

// admitOnce decides on an identity: the first time by decide, later by its outcome.
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
		// Without a record a later copy could run, so the caller can't be told
		// that the unit did not.
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

// mayRun reports whether no other VM can have run the unit and no outcome of it
// can have expired here.
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

// expire forgets the identities whose time is over.
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
