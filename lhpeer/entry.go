package lhpeer

import (
	"math/rand/v2"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Health is what the others say of a member. A worse health is a higher value.
type Health uint8

// The healths of a member.
const (
	// Alive is a member that nobody doubts.
	Alive Health = iota
	// Suspect is a member that did not answer and has not refuted that yet.
	Suspect
	// Dead is a member whose ID is never accepted again.
	Dead
)

// Entry is what members tell each other of one member.
type Entry struct {
	lhflow.Member
	Health Health
	// Refutation is raised by the member itself to refute a suspicion.
	Refutation uint32
}

// merge takes over what b says beyond e and reports whether e has changed. The
// order of merges does not matter: the higher state wins; Dead is final; else
// the higher refutation wins, and then the worse health.
func (e *Entry) merge(b Entry) bool {
	changed := false
	if b.State > e.State {
		e.State = b.State
		changed = true
	}
	if e.Health == Dead {
		return changed
	}
	worse := b.Refutation == e.Refutation && b.Health > e.Health
	if b.Health == Dead || b.Refutation > e.Refutation || worse {
		e.Refutation = max(e.Refutation, b.Refutation)
		e.Health = b.Health
		changed = true
	}
	return changed
}

// final reports whether the member can never own a flow again.
func (e *Entry) final() bool { return e.State == lhflow.Gone || e.Health == Dead }

// peer is an Entry together with what only this VM knows of the member.
type peer struct {
	Entry
	// suspected is since when Health is Suspect.
	suspected time.Duration
	// ended is since when the entry is final.
	ended time.Duration
	// probed is when an indirect probe counts as failed; 0 when none runs.
	probed time.Duration
	// unreachable is set once the suspicion has stood for Timing.Suspect.
	unreachable bool
	// confirmed is since when an unreachable member would count as dead.
	confirmed time.Duration
	// received is set once the member has handed over to this VM.
	received bool
	// released is set once this VM has handed over to the member.
	released bool
}

// owner reports whether the member owns flows in this VM's view.
func (p *peer) owner() bool {
	return p.present() && (p.State == lhflow.Active || p.State == lhflow.Leaving)
}

// present reports whether the member belongs to this VM's view.
func (p *peer) present() bool { return !p.final() && !p.unreachable }

// mark is the member's part of the digest of a view.
func (p *peer) mark() uint64 {
	if p.final() {
		return 0
	}
	x := uint64(p.State) + 1
	if p.unreachable {
		x += 8
	}
	return lhflow.Rank(lhflow.ID{Hi: x, Lo: uint64(p.ID)}, x)
}

const (
	// idRandomBits is how many low bits of a member's ID are random, so that VMs
	// that start at the same time differ.
	idRandomBits = 28
	// idTimeUnit is the unit of the bits above, which order the runs on one VM.
	idTimeUnit = 100 * time.Millisecond
)

// NewMemberID returns the ID of a run that starts at the given time of day. The
// ID of a later run on the same VM is higher; it is also higher than after,
// which is 0 or the ID of an earlier run.
func NewMemberID(wall time.Time, after lhflow.MemberID, rng *rand.Rand) lhflow.MemberID {
	units := uint64(wall.UnixMilli() / idTimeUnit.Milliseconds())
	id := units<<idRandomBits | rng.Uint64N(1<<idRandomBits)
	return max(lhflow.MemberID(id), after+1)
}
