package lhstore

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// WatchWait is how long a watch of the head waits for a change.
	WatchWait = 30 * time.Second
	// headReadPeriod is the mean time between two reads of the head by a VM that does
	// not watch it. They find revisions that gossip has missed.
	headReadPeriod = 10 * time.Minute
	// initialBackoff is the maximum delay after a first failed call. It doubles with
	// each further failure up to maxBackoff. The delays of VMs that watch are shorter,
	// as these VMs are few.
	initialBackoff      = 2 * time.Second
	maxBackoff          = time.Minute
	initialWatchBackoff = 250 * time.Millisecond
	maxWatchBackoff     = 4 * time.Second
	// maxRestoreDelay is the maximum time that a VM waits for another VM to restore a
	// store that has a lower revision than this VM.
	maxRestoreDelay = 2 * time.Second
)

// Alarm is a state of the store that requires action by operators.
type Alarm uint8

// Alarms.
const (
	AlarmNone Alarm = iota
	// AlarmStoreLower means that the store holds a lower revision than this VM.
	AlarmStoreLower
	// AlarmStoreDiverged means that the store holds other contents than this VM under the
	// same revision.
	AlarmStoreDiverged
)

// String returns the alarm's name as used in dumps and logs.
func (a Alarm) String() string {
	return [...]string{"none", "store-lower", "store-parted"}[a%3]
}

// MarshalText returns the alarm's name.
func (a Alarm) MarshalText() ([]byte, error) { return []byte(a.String()), nil }

// StepKind is the kind of a Step.
type StepKind uint8

// Kinds of steps.
const (
	// StepWait makes no call to the store until Step.Until.
	StepWait StepKind = iota
	// StepRead reads the head.
	StepRead
	// StepWatch waits until the ETag of the head differs from Step.ETag.
	StepWatch
)

// Step is what a VM that follows the head does next.
type Step struct {
	Kind  StepKind
	Until time.Duration
	ETag  string
}

// HeadAction is the action to take after the head was read.
type HeadAction uint8

// Actions.
const (
	// HeadNoAction requires no action.
	HeadNoAction HeadAction = iota
	// HeadLoad loads the contents that the head refers to. Its result is reported with
	// StoreSucceeded or StoreFailed.
	HeadLoad
	// HeadRestore restores the store to the revision of this VM.
	HeadRestore
)

// FollowerCounts are event counters of a Follower.
type FollowerCounts struct {
	// Adopted is the number of revisions adopted.
	Adopted uint64 `json:"adopted"`
	// Lower is the number of heads read that were lower than the current revision.
	Lower uint64 `json:"lower"`
	// Diverged is the number of positions on a chain that diverged from the current one.
	Diverged uint64 `json:"parted"`
	// Failed is the number of failed calls to the store.
	Failed uint64 `json:"failed"`
}

// Follower decides how a VM follows the head. Times are the VM's monotonic time; random
// numbers are uniform in [0, 1). The zero Follower has no configuration.
type Follower struct {
	// current is the position of the current configuration. Its revision never
	// decreases.
	current Position
	// storeHead and etag are those of the head when it was last read.
	storeHead Position
	etag      string
	// headKnown is set once the head has been read, even if it did not exist.
	headKnown bool
	// failures is the number of failed calls since the last successful one.
	failures int
	// nextCall is when the store may be called again.
	nextCall time.Duration
	alarm    Alarm
	// restoreAt is when to restore the store; 0 unless it was lower when last read.
	restoreAt time.Duration
	counts    FollowerCounts
}

// Current returns the position of the current configuration.
func (f *Follower) Current() Position { return f.current }

// StoreHead returns the position of the head when it was last read.
func (f *Follower) StoreHead() Position { return f.storeHead }

// Alarm returns the alarm that the last head read has raised.
func (f *Follower) Alarm() Alarm { return f.alarm }

// Failures returns the number of failed calls since the last successful one.
func (f *Follower) Failures() int { return f.failures }

// Counts returns the event counters.
func (f *Follower) Counts() FollowerCounts { return f.counts }

// Step returns the next step at now. A VM that watches always has a watch of the head
// pending; another reads the head once to join and then periodically.
func (f *Follower) Step(now time.Duration, watching bool) Step {
	switch {
	case watching && f.failures == 0 && f.restoreAt > now:
		return Step{Kind: StepWait, Until: f.restoreAt}
	case watching && f.failures == 0 && f.restoreAt > 0:
		return Step{Kind: StepRead}
	case watching && f.headKnown && f.failures == 0:
		return Step{Kind: StepWatch, ETag: f.etag}
	case now < f.nextCall && (!watching || f.failures > 0):
		return Step{Kind: StepWait, Until: f.nextCall}
	}
	return Step{Kind: StepRead}
}

// HeadRead processes the head that was read. A store with a lower revision than this VM
// has been rolled back to an older state: it is read again after a random delay, and
// restored if no other VM has done so by then.
func (f *Follower) HeadRead(now time.Duration, at Position, etag string, random float64) HeadAction {
	f.storeHead, f.etag, f.headKnown = at, etag, true
	f.nextCall = now + time.Duration((0.5+random)*float64(headReadPeriod))
	f.alarm = AlarmNone
	restoreAt := f.restoreAt
	f.restoreAt = 0
	switch {
	case at.Newer(f.current):
		// Loading may still fail, so failures is not reset.
		return HeadLoad
	case f.current.Newer(at):
		f.counts.Lower++
		f.alarm = AlarmStoreLower
		if restoreAt > 0 && now >= restoreAt {
			return HeadRestore
		}
		if f.restoreAt = restoreAt; restoreAt == 0 {
			f.restoreAt = now + time.Duration((0.5+random/2)*float64(maxRestoreDelay))
		}
	case at != f.current:
		f.counts.Diverged++
		f.alarm = AlarmStoreDiverged
	}
	f.failures = 0
	return HeadNoAction
}

// StoreSucceeded reports that contents were loaded or restored, or that a watch returned
// without a change.
func (f *Follower) StoreSucceeded() { f.failures = 0 }

// StoreFailed reports a failed call. The next call is delayed by a random time whose
// maximum doubles with each failure, so that VMs don't all retry at once.
func (f *Follower) StoreFailed(now time.Duration, watching bool, random float64) {
	f.counts.Failed++
	first, limit := initialBackoff, maxBackoff
	if watching {
		first, limit = initialWatchBackoff, maxWatchBackoff
	}
	wait := min(limit, first<<min(f.failures, 16))
	f.failures++
	f.nextCall = now + time.Duration((0.5+random/2)*float64(wait))
}

// MissedChange reports that a peer's update could not be applied to the current
// contents. The complete contents are then soon read from the store.
func (f *Follower) MissedChange(now time.Duration, random float64) {
	f.nextCall = min(f.nextCall, now+time.Duration(random*float64(maxWatchBackoff)))
}

// CheckNewer returns an error unless a position may be adopted. The error has
// lhcode.RevisionLower if the revision is not higher than the current one.
func (f *Follower) CheckNewer(at Position) error {
	if !at.Newer(f.current) {
		return lhcode.Newf(lhcode.RevisionLower, "revision %v is not higher than %v", at, f.current)
	}
	return nil
}

// Adopt makes a position the current one if it may be adopted. before is the position
// that it follows.
func (f *Follower) Adopt(at, before Position) error {
	if err := f.CheckNewer(at); err != nil {
		return err
	}
	if before.Revision == f.current.Revision && before != f.current {
		f.counts.Diverged++
	}
	f.current = at
	f.counts.Adopted++
	return nil
}
