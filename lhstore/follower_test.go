package lhstore

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

func position(revision, digest uint64) Position { return Position{Revision: revision, Digest: digest} }

func TestFollowerNeverReverts(t *testing.T) {
	cases := []struct {
		name  string
		head  Position
		want  HeadAction
		alarm Alarm
	}{
		{"higher", position(6, 1), HeadLoad, AlarmNone},
		{"the same", position(5, 5), HeadNoAction, AlarmNone},
		{"lower", position(4, 4), HeadNoAction, AlarmStoreLower},
		{"diverged", position(5, 9), HeadNoAction, AlarmStoreDiverged},
		{"empty", Position{}, HeadNoAction, AlarmStoreLower},
	}
	for _, c := range cases {
		var f Follower
		assert.NilError(t, f.Adopt(position(5, 5), Position{}))
		assert.Equal(t, f.HeadRead(0, c.head, "e", 0), c.want, c.name)
		assert.Equal(t, f.Alarm(), c.alarm, c.name)
		if c.want != HeadLoad {
			assert.Assert(t, f.Adopt(c.head, Position{}) != nil, c.name)
		}
		assert.Equal(t, f.Current(), position(5, 5), c.name)
		assert.Equal(t, f.Counts().Lower > 0, c.alarm == AlarmStoreLower, c.name)
	}
}

func TestFollowerSteps(t *testing.T) {
	var f Follower
	step := func(now time.Duration, watching bool) StepKind { return f.Step(now, watching).Kind }
	assert.Equal(t, step(0, false), StepRead, "joining")
	f.StoreFailed(0, false, 0.5)
	assert.Equal(t, step(0, false), StepWait, "after a failure")
	assert.Equal(t, step(initialBackoff, false), StepRead)
	assert.Equal(t, f.HeadRead(0, position(1, 1), "e", 0), HeadLoad)
	f.StoreFailed(0, true, 0)
	assert.Equal(t, step(0, true), StepWait, "loading failed")
	assert.Equal(t, f.HeadRead(0, position(1, 1), "e", 0), HeadLoad)
	f.StoreSucceeded()
	assert.NilError(t, f.Adopt(position(1, 1), Position{}))
	assert.Equal(t, step(0, true), StepWatch)
	assert.Equal(t, f.Step(0, false).Until, headReadPeriod/2)
	assert.Equal(t, step(headReadPeriod, false), StepRead, "periodic read")
	f.MissedChange(time.Second, 0)
	assert.Equal(t, step(time.Second, false), StepRead, "after a missed change")
}

func TestFollowerRestores(t *testing.T) {
	var f Follower
	assert.NilError(t, f.Adopt(position(5, 5), Position{}))
	assert.Equal(t, f.HeadRead(0, position(4, 4), "e", 0.5), HeadNoAction, "waits for other VMs first")
	until := f.Step(0, true).Until
	assert.Assert(t, until > 0 && until <= maxRestoreDelay)
	assert.Equal(t, f.HeadRead(until/2, position(4, 4), "f", 0.5), HeadNoAction, "too early")
	assert.Equal(t, f.Step(until, true).Kind, StepRead)
	assert.Equal(t, f.HeadRead(until, position(4, 4), "f", 0.5), HeadRestore)
	assert.Equal(t, f.HeadRead(until, position(5, 5), "g", 0.5), HeadNoAction, "restored")
	assert.Equal(t, f.Step(until, true).Kind, StepWatch)
}

func TestFollowerBackoff(t *testing.T) {
	for _, watching := range []bool{true, false} {
		var f Follower
		limit, last := maxBackoff, time.Duration(0)
		if watching {
			limit = maxWatchBackoff
		}
		for range 40 {
			f.StoreFailed(0, watching, 0.999999)
			wait := f.Step(0, watching).Until
			assert.Assert(t, wait >= last && wait <= limit, "%v after %v", wait, last)
			last = wait
		}
		assert.Assert(t, last > limit*9/10)
	}
}

func TestWatchers(t *testing.T) {
	members := []lhflow.Member{
		{ID: 1, DataCentre: "a", State: lhflow.Active},
		{ID: 2, DataCentre: "a", State: lhflow.Active},
		{ID: 3, DataCentre: "a", State: lhflow.Active},
		{ID: 4, DataCentre: "a", State: lhflow.Joining},
		{ID: 5, DataCentre: "b", State: lhflow.Joining},
	}
	cases := []struct {
		dataCentre string
		count      int
	}{{"a", 2}, {"b", 1}, {"c", 0}}
	view := lhflow.NewView(1, 1, members)
	for _, c := range cases {
		assert.Equal(t, len(Watchers(view, c.dataCentre)), c.count)
	}
	// If its first watcher fails, a data centre keeps the second and gets another.
	before := Watchers(view, "a")
	members[before[0]-1].State = lhflow.Gone
	after := Watchers(lhflow.NewView(2, 1, members), "a")
	assert.Equal(t, after[0], before[1])
	assert.Equal(t, len(after), 2)
	assert.Assert(t, Watches(lhflow.NewView(1, 9, members)), "VM missing from its own view")
}

func TestHistory(t *testing.T) {
	s := &Snapshot{}
	var h history
	for range maxHistoryLength + 5 {
		next := s.successor("id", []FileText{{Name: "a", Text: s.position.String()}}, s.Config())
		s = &next
		h = h.add(s)
	}
	assert.Equal(t, len(h), maxHistoryLength)
	cases := []struct {
		have  uint64
		links int
	}{{0, 0}, {4, 0}, {5, maxHistoryLength}, {s.position.Revision - 1, 1}, {s.position.Revision, 0}}
	for _, c := range cases {
		assert.Equal(t, len(h.since(c.have)), c.links)
	}
	big := make([]byte, inlineLimit+1)
	bulk := s.successor("id", []FileText{{Name: "b", Text: string(big)}}, s.Config())
	assert.Equal(t, len(h.add(&bulk)), 0)
	_, err := s.patch(bulk.manifest, bulk.position)
	assert.Equal(t, lhcode.Of(err), lhcode.NotFound)
}
