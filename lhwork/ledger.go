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

	ledgerShards = 64
	// shardIdentities is how many identities a shard keeps, and shardRefused is how
	// many it may hold before it keeps refused ones no more.
	shardIdentities = 4096
	shardRefused    = shardIdentities / 2
)

// ledger keeps the outcome of each identity for the RetryHorizon, so that a unit
// runs once at most. The zero ledger is that of a VM on its own.
//
// Every identity has one owner among the members, lost ones included; the others
// answer "not known". So does an owner for an identity that another VM may have
// owned before: it runs only identities minted after all VMs knew it as the owner,
// and others once the RetryHorizon has passed since then. While a member is lost,
// nobody runs the identities that it owns, and a VM that has joined since runs
// none; should the platform say that the member is gone for good, the next owner
// takes over in the same way. This holds as long as each side of a cut keeps a
// member from before it, of which those that join there learn who is lost.
type ledger struct {
	// mu guards owners, which is replaced and never changed.
	mu     sync.RWMutex
	owners *ownership
	shards [ledgerShards]ledgerShard
}

// ledgerShard keeps its identities in the order of their first sight.
type ledgerShard struct {
	mu       sync.Mutex
	outcomes map[Identity]Outcome
	order    []sighted
}

// sighted is an identity with the time until which its outcome is kept.
type sighted struct {
	identity Identity
	until    time.Duration
}

// IdentityID returns the ID by which the members' order finds an identity's owner.
func IdentityID(i Identity) lhflow.ID {
	return lhflow.ID{Hi: binary.BigEndian.Uint64(i[:8]), Lo: binary.BigEndian.Uint64(i[8:])}
}

// Finish records that an admitted identity has run to its end.
func (c *Controller) Finish(i Identity) { c.ledger.finish(i) }

// once decides on an identity: the first time by decide, later by its outcome.
func (l *ledger) once(now time.Duration, u Unit, decide func() Decision) Decision {
	s := &l.shards[IdentityID(u.Identity).Lo%ledgerShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	if o, ok := s.outcomes[u.Identity]; ok {
		return Decision{Reason: ReasonRepeated, Outcome: o}
	}
	if len(s.order) >= shardIdentities || !l.vouches(now, u) {
		return Decision{Reason: ReasonNotKnown}
	}
	d := decide()
	if !d.Admitted && len(s.order) >= shardRefused {
		// Without a record a later copy could run, so the caller can't be told
		// that the unit did not.
		return Decision{Kind: d.Kind, Reason: ReasonNotKnown}
	}
	s.keep(now, u.Identity, outcomeOf(d))
	return d
}

func (l *ledger) finish(i Identity) {
	s := &l.shards[IdentityID(i).Lo%ledgerShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.outcomes[i] == OutcomeAdmitted {
		s.outcomes[i] = OutcomeDone
	}
}

// vouches reports whether no other VM can have run the unit and no outcome of it
// can have expired here.
func (l *ledger) vouches(now time.Duration, u Unit) bool {
	if u.Minted != 0 && now-u.Minted >= RetryHorizon {
		return false
	}
	l.mu.RLock()
	o := l.owners
	l.mu.RUnlock()
	return o.vouches(now, u)
}

// setMembers puts a new set of owners into force.
func (l *ledger) setMembers(now time.Duration, view *lhflow.View, lost []lhflow.MemberID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owners = newOwnership(now, view, lost, l.owners)
}

// expire forgets the identities whose time is over.
func (s *ledgerShard) expire(now time.Duration) {
	for len(s.order) > 0 && now >= s.order[0].until {
		delete(s.outcomes, s.order[0].identity)
		s.order = s.order[1:]
	}
}

func (s *ledgerShard) keep(now time.Duration, i Identity, o Outcome) {
	if s.outcomes == nil {
		s.outcomes = map[Identity]Outcome{}
	}
	s.outcomes[i] = o
	s.order = append(s.order, sighted{identity: i, until: now + RetryHorizon})
}

func outcomeOf(d Decision) Outcome {
	if d.Admitted {
		return OutcomeAdmitted
	}
	return OutcomeRefused
}
