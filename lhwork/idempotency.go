package lhwork

import (
	"encoding/binary"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// RetryHorizon is how long callers may repeat a unit under the same identity.
	RetryHorizon = 2 * time.Minute

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
	outcomes map[Identity]Outcome
	order    []keyExpiry
}

// keyExpiry is an identity with the time until which its outcome is kept.
type keyExpiry struct {
	key     Identity
	expires time.Duration
}

// IdentityID returns the ID by which the members' order finds an identity's owner.
func IdentityID(i Identity) lhflow.ID {
	return lhflow.ID{Hi: binary.BigEndian.Uint64(i[:8]), Lo: binary.BigEndian.Uint64(i[8:])}
}

// Finish records that an admitted identity has run to its end.
func (c *Controller) Finish(i Identity) { c.outcomes.finish(i) }

// admitOnce decides on an identity: the first time by decide, later by its outcome.
func (l *idempotencyTable) admitOnce(now time.Duration, u Unit, decide func() Decision) Decision {
	s := &l.shards[IdentityID(u.Identity).Lo%idempotencyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if o, ok := s.outcomes[u.Identity]; ok {
		return Decision{Reason: ReasonRepeated, Outcome: o}
	}
	if len(s.order) >= shardCapacity || !l.mayRun(now, u) {
		return Decision{Reason: ReasonNotKnown}
	}
	d := decide()
	if !d.Admitted && len(s.order) >= shardRefusedLimit {
		// Without a record a later copy could run, so the caller can't be told
		// that the unit did not.
		return Decision{Kind: d.Kind, Reason: ReasonNotKnown}
	}
	s.record(now, u.Identity, outcomeOf(d))
	return d
}

func (l *idempotencyTable) finish(i Identity) {
	s := &l.shards[IdentityID(i).Lo%idempotencyShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes[i] == OutcomeAdmitted {
		s.outcomes[i] = OutcomeDone
	}
}

// mayRun reports whether no other VM can have run the unit and no outcome of it
// can have expired here.
func (l *idempotencyTable) mayRun(now time.Duration, u Unit) bool {
	if u.Minted != 0 && now-u.Minted >= RetryHorizon {
		return false
	}
	l.mu.RLock()
	o := l.owners
	l.mu.RUnlock()
	return o.exclusive(now, u)
}

// setMembers puts a new set of owners into force.
func (l *idempotencyTable) setMembers(now time.Duration, view *lhflow.View, lost []lhflow.MemberID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners = newOwnership(now, view, lost, l.owners)
}

// expire forgets the identities whose time is over.
func (s *idempotencyShard) expire(now time.Duration) {
	for len(s.order) > 0 && now >= s.order[0].expires {
		delete(s.outcomes, s.order[0].key)
		s.order = s.order[1:]
	}
}

func (s *idempotencyShard) record(now time.Duration, i Identity, o Outcome) {
	if s.outcomes == nil {
		s.outcomes = map[Identity]Outcome{}
	}
	s.outcomes[i] = o
	s.order = append(s.order, keyExpiry{key: i, expires: now + RetryHorizon})
}

func outcomeOf(d Decision) Outcome {
	if d.Admitted {
		return OutcomeAdmitted
	}
	return OutcomeRefused
}
