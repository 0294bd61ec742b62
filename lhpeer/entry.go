package lhpeer

import (
	"math/rand/v2"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Health is the liveness of a member as seen by the others. A higher value is a
// worse health.
type Health uint8

// The values of Health.
const (
	// Alive is a member that is not suspected.
	Alive Health = iota
	// Suspect is a member that did not answer and has not refuted the suspicion
	// yet.
	Suspect
	// Dead is a member whose ID is never accepted again.
	Dead
)

// Entry is the information about one member that members exchange.
type Entry struct {
	lhflow.Member
	Health Health
	// Refutation is incremented by the member itself to refute a suspicion, like
	// the incarnation number in SWIM.
	Refutation uint32
}

// merge merges b into e and reports whether e has changed. The order of merges does
// not matter: the higher state wins; Dead is final; otherwise the higher refutation
// wins, and at equal refutations the worse health.
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

// final reports whether the member can never own flows again.
func (e *Entry) final() bool { return e.State == lhflow.Gone || e.Health == Dead }

// peer is an Entry with the state that only this VM keeps about the member.
type peer struct {
	Entry
	// suspectedAt is when Health last became Suspect.
	suspectedAt time.Duration
	// finalAt is when the entry became final.
	finalAt time.Duration
	// probeDeadline is when a running indirect probe times out; 0 if none runs.
	probeDeadline time.Duration
	// unreachable is set once the suspicion has stood for Timing.Suspect.
	unreachable bool
	// deadTimerStart is when the timer started after which an unreachable member is
	// declared dead.
	deadTimerStart time.Duration
	// handOverReceived is set once the member has completed its hand-over to this
	// VM.
	handOverReceived bool
	// handOverSent is set once this VM has completed its hand-over to the member.
	handOverSent bool
}

// ownsFlows reports whether the member owns flows in this VM's view.
func (p *peer) ownsFlows() bool {
	return p.inView() && (p.State == lhflow.Active || p.State == lhflow.Leaving)
}

// inView reports whether the member belongs to this VM's view.
func (p *peer) inView() bool { return !p.final() && !p.unreachable }

// digestTerm returns the member's term in the digest of a view.
func (p *peer) digestTerm() uint64 {
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
	// idRandomBits is the number of random low bits of a member ID. They keep the
	// IDs of VMs that start at the same time distinct.
	idRandomBits = 28
	// idTimeUnit is the unit of the time in the upper bits, which order the runs on
	// one VM.
	idTimeUnit = 100 * time.Millisecond
)

// NewMemberID returns the member ID for a run that starts at the given wall-clock
// time. The ID is higher than those of earlier runs on the same VM, and always
// higher than after, which is 0 or the ID of an earlier run.
func NewMemberID(wall time.Time, after lhflow.MemberID, rng *rand.Rand) lhflow.MemberID {
	units := uint64(wall.UnixMilli() / idTimeUnit.Milliseconds())
	id := units<<idRandomBits | rng.Uint64N(1<<idRandomBits)
	return max(lhflow.MemberID(id), after+1)
}
