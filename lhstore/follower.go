package lhstore

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// WatchWait is how long a watch of the head waits for a change.
	WatchWait = 30 * time.Second
	// checkPeriod is the mean time between two reads of the head by a VM that
	// does not watch it. It finds what gossip has missed.
	checkPeriod = 10 * time.Minute
	// firstBackoff is the longest wait after a first failed call, which doubles
	// with each further one up to maxBackoff. VMs that watch are few and may call
	// more often.
	firstBackoff      = 2 * time.Second
	maxBackoff        = time.Minute
	firstWatchBackoff = 250 * time.Millisecond
	maxWatchBackoff   = 4 * time.Second
	// restoreSpread is the longest time that a VM which finds the store lower than
	// itself leaves to others to restore it.
	restoreSpread = 2 * time.Second
)

// Alarm is a state of the store that operators have to see to.
type Alarm uint8

// The alarms.
const (
	AlarmNone Alarm = iota
	// AlarmStoreLower is a store that holds a lower revision than this VM.
	AlarmStoreLower
	// AlarmStoreParted is a store that holds other contents under the revision of
	// this VM.
	AlarmStoreParted
)

// String returns the alarm's name in dumps and logs.
func (a Alarm) String() string {
	return [...]string{"none", "store-lower", "store-parted"}[a%3]
}

// MarshalText returns the alarm's name.
func (a Alarm) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// StepKind is what a Follower does next.
type StepKind uint8

// The kinds of steps.
const (
	// StepRest leaves the store alone until Step.Until.
	StepRest StepKind = iota
	// StepRead reads the head.
	StepRead
	// StepWatch waits until the head is no longer the one with Step.ETag.
	StepWatch
)

// Step is what a Follower does next.
type Step struct {
	Kind  StepKind
	Until time.Duration
	ETag  string
}

// HeadAction is what to do about the head that was read.
type HeadAction uint8

// The actions.
const (
	// HeadKeep leaves things as they are.
	HeadKeep HeadAction = iota
	// HeadLoad loads the contents that the head names. It ends in StoreAnswered
	// or StoreFailed.
	HeadLoad
	// HeadRestore brings the store up to what this VM holds.
	HeadRestore
)

// FollowerCounts count what a Follower has met.
type FollowerCounts struct {
	// Adopted are the revisions put in force.
	Adopted uint64 `json:"adopted"`
	// Lower are the heads that were older than what was in force.
	Lower uint64 `json:"lower"`
	// Parted are the positions that are not of the chain in force.
	Parted uint64 `json:"parted"`
	// Failed are the calls of the store without an answer.
	Failed uint64 `json:"failed"`
}

// Follower decides how one VM follows the head. Times are the VM's monotonic
// time; chances are uniform in [0, 1). The zero Follower holds no configuration.
type Follower struct {
	// held is in force. Its revision never falls.
	held Position
	// seen and etag are of the head when last read.
	seen Position
	etag string
	// known is set once the head has been read, also where there was none.
	known bool
	// failures counts the calls without an answer since the last with one.
	failures int
	// due is when the store may be called again.
	due   time.Duration
	alarm Alarm
	// restoreDue is when to restore the store; 0 unless it was lower when last read.
	restoreDue time.Duration
	counts     FollowerCounts
}

// Held returns the position in force.
func (f *Follower) Held() Position { return f.held }

// Seen returns the position that the store had when last read.
func (f *Follower) Seen() Position { return f.seen }

// Alarm returns what the last answer of the store gave cause for.
func (f *Follower) Alarm() Alarm { return f.alarm }

// Failures returns the number of calls without an answer since the last with one.
func (f *Follower) Failures() int { return f.failures }

// Counts returns what the Follower has met so far.
func (f *Follower) Counts() FollowerCounts { return f.counts }

// Step returns what to do at now. A VM that watches waits at the head all the
// time; another reads it once to join and then now and again.
func (f *Follower) Step(now time.Duration, watching bool) Step {
	switch {
	case watching && f.failures == 0 && f.restoreDue > now:
		return Step{Kind: StepRest, Until: f.restoreDue}
	case watching && f.failures == 0 && f.restoreDue > 0:
		return Step{Kind: StepRead}
	case watching && f.known && f.failures == 0:
		return Step{Kind: StepWatch, ETag: f.etag}
	case now < f.due && (!watching || f.failures > 0):
		return Step{Kind: StepRest, Until: f.due}
	}
	return Step{Kind: StepRead}
}

// HeadRead takes in the store's head. A store that is lower than what is in force
// has returned to an older state: it is read again after a time that chance
// spreads, and restored if no other VM has done it by then.
func (f *Follower) HeadRead(now time.Duration, at Position, etag string, chance float64) HeadAction {
	f.seen, f.etag, f.known = at, etag, true
	f.due = now + time.Duration((0.5+chance)*float64(checkPeriod))
	f.alarm = AlarmNone
	restoreDue := f.restoreDue
	f.restoreDue = 0
	switch {
	case at.Newer(f.held):
		// Loading may still fail, so that the failures stay as they are.
		return HeadLoad
	case f.held.Newer(at):
		f.counts.Lower++
		f.alarm = AlarmStoreLower
		if restoreDue > 0 && now >= restoreDue {
			return HeadRestore
		}
		if f.restoreDue = restoreDue; restoreDue == 0 {
			f.restoreDue = now + time.Duration((0.5+chance/2)*float64(restoreSpread))
		}
	case at != f.held:
		f.counts.Parted++
		f.alarm = AlarmStoreParted
	}
	f.failures = 0
	return HeadKeep
}

// StoreAnswered takes in that contents were loaded or restored, or that a watch
// saw no change.
func (f *Follower) StoreAnswered() { f.failures = 0 }

// StoreFailed takes in a call without an answer. The next one waits for a time
// that doubles with each failure and is spread by chance, so that the VMs don't
// return to the store together.
func (f *Follower) StoreFailed(now time.Duration, watching bool, chance float64) {
	f.counts.Failed++
	first, limit := firstBackoff, maxBackoff
	if watching {
		first, limit = firstWatchBackoff, maxWatchBackoff
	}
	wait := min(limit, first<<min(f.failures, 16))
	f.failures++
	f.due = now + time.Duration((0.5+chance/2)*float64(wait))
}

// MissedChange takes in that a peer's contents could not be joined to those in
// force: the store is asked for the whole soon.
func (f *Follower) MissedChange(now time.Duration, chance float64) {
	f.due = min(f.due, now+time.Duration(chance*float64(maxWatchBackoff)))
}

// Wants returns an error unless a position may be put in force: one with
// lhcode.RevisionLower for anything but a higher revision.
func (f *Follower) Wants(at Position) error {
	if !at.Newer(f.held) {
		return lhcode.Newf(lhcode.RevisionLower, "revision %v is not above %v", at, f.held)
	}
	return nil
}

// Adopt makes a position the one in force if the Follower wants it, where before
// is the position that it followed.
func (f *Follower) Adopt(at, before Position) error {
	if err := f.Wants(at); err != nil {
		return err
	}
	if before.Revision == f.held.Revision && before != f.held {
		f.counts.Parted++
	}
	f.held = at
	f.counts.Adopted++
	return nil
}
