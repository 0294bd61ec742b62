package lhwork_test

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

func testIdempotencyKey(n uint64) lhwork.IdempotencyKey {
	var i lhwork.IdempotencyKey
	binary.BigEndian.PutUint64(i[:8], n*0x9e3779b97f4a7c15)
	binary.BigEndian.PutUint64(i[8:], n+1)
	return i
}

func TestIdempotencyKeyOutcome(t *testing.T) {
	c := &lhwork.Controller{}
	c.SetTable(0, lhplace.NewTable(testConfig(2)))
	u := lhwork.Unit{Key: testKey, IdempotencyKey: testIdempotencyKey(1), Deadline: time.Second}
	late := lhwork.Unit{Key: testKey, IdempotencyKey: testIdempotencyKey(2), Deadline: time.Second}
	cases := []struct {
		name string
		now  time.Duration
		unit lhwork.Unit
		want lhwork.Decision
	}{
		{"first", 0, u, lhwork.Decision{Admitted: true}},
		{"again", 2 * time.Second, u, lhwork.Decision{Reason: lhwork.ReasonRepeated, Outcome: lhwork.OutcomeAdmitted}},
		{"past its deadline", time.Second, late, lhwork.Decision{Reason: lhwork.ReasonDeadline}},
		{"refused again", time.Second, late, lhwork.Decision{Reason: lhwork.ReasonRepeated, Outcome: lhwork.OutcomeRefused}},
	}
	for _, k := range cases {
		t.Run(k.name, func(t *testing.T) { assert.DeepEqual(t, c.Admit(k.now, k.unit), k.want) })
	}
	c.Finish(u.IdempotencyKey)
	assert.Equal(t, c.Admit(time.Second, u).Outcome, lhwork.OutcomeDone)
	old := lhwork.Unit{Key: testKey, IdempotencyKey: testIdempotencyKey(3), IssuedAt: time.Second}
	assert.Equal(t, c.Admit(time.Second+lhwork.RetryWindow, old).Reason, lhwork.ReasonNotKnown, "the record of its outcome may have expired")
}

// cluster simulates a group of VMs that join, die and are partitioned. Their views
// are delayed and differ.
type cluster struct {
	random *rand.Rand
	vms    []*clusterVM
	// The partition lasts from partitionStart to partitionEnd; VMs on different
	// sides can't communicate meanwhile.
	partitionStart, partitionEnd time.Duration
}

type clusterVM struct {
	id                   lhflow.MemberID
	side                 int
	joined, died, listed time.Duration
	controller           lhwork.Controller
	members              []lhflow.Member
	lost                 []lhflow.MemberID
	// delays holds how long this VM takes to learn of a change of each other VM.
	delays []time.Duration
}

const clusterEnd = 600 * time.Second

func newCluster(seed uint64) *cluster {
	cl := &cluster{random: rand.New(rand.NewPCG(seed, 0))}
	cl.partitionStart = cl.within(clusterEnd)
	cl.partitionEnd = cl.partitionStart + cl.within(clusterEnd)
	table := lhplace.NewTable(testConfig(2))
	const vms = 7
	for i := range vms {
		v := &clusterVM{id: lhflow.MemberID(100 + cl.random.Uint64()>>8), side: cl.random.IntN(2), died: 2 * clusterEnd}
		if i >= 3 {
			v.joined = cl.within(clusterEnd)
		}
		if i < 2 {
			// One VM from before the partition lives on each side.
			v.side = i
		} else if cl.random.IntN(2) == 0 {
			v.died = v.joined + cl.within(clusterEnd/2)
		}
		v.listed = v.died + cl.within(60*time.Second)
		for range vms {
			v.delays = append(v.delays, cl.within(lhwork.MemberRetention))
		}
		v.controller.SetTable(0, table)
		cl.vms = append(cl.vms, v)
	}
	return cl
}

func (cl *cluster) within(d time.Duration) time.Duration {
	return time.Duration(cl.random.Int64N(int64(d)))
}

// partitioned reports whether two VMs can't reach each other.
func (cl *cluster) partitioned(a, b *clusterVM, now time.Duration) bool {
	return a.side != b.side && now >= cl.partitionStart && now < cl.partitionEnd
}

// knows reports whether v has learned by now of an event at VM i at a time.
func (cl *cluster) knows(v *clusterVM, i int, at, now time.Duration) bool {
	other := cl.vms[i]
	if v != other && v.side != other.side && at+v.delays[i] >= cl.partitionStart && at < cl.partitionEnd {
		at = cl.partitionEnd
	}
	return v == other && now >= at || now >= at+v.delays[i]
}

// updateView gives v its view at now if the view has changed.
func (cl *cluster) updateView(v *clusterVM, now time.Duration) {
	var members []lhflow.Member
	var lost []lhflow.MemberID
	for i, other := range cl.vms {
		switch {
		case other.joined > 0 && !cl.knows(v, i, other.joined, now) || cl.knows(v, i, other.listed, now):
		case cl.knows(v, i, other.died, now) || cl.partitioned(v, other, now):
			lost = append(lost, other.id)
		default:
			members = append(members, lhflow.Member{ID: other.id, State: lhflow.Active})
		}
	}
	if slices.Equal(members, v.members) && slices.Equal(lost, v.lost) {
		return
	}
	v.members, v.lost = members, lost
	v.controller.SetView(now, lhflow.NewView(1, v.id, members), lost)
}

// TestIdempotencyKeyRunsOnce repeats units at random VMs of a changing cluster. No
// unit may run twice, and none may run that was reported not to have run.
func TestIdempotencyKeyRunsOnce(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		cl := newCluster(rapid.Uint64().Draw(t, "seed"))
		runs, reportedNotRun := map[uint64]int{}, map[uint64]bool{}
		issued := []time.Duration{}
		for now := time.Duration(0); now < clusterEnd; now += time.Second {
			issued = append(issued, now)
			for _, v := range cl.vms {
				if now < v.joined || now >= v.died {
					continue
				}
				cl.updateView(v, now)
				for range 4 {
					n := uint64(len(issued) - 1 - cl.random.IntN(min(len(issued), int(lhwork.RetryWindow/time.Second))))
					u := lhwork.Unit{Key: testKey, IdempotencyKey: testIdempotencyKey(n), IssuedAt: issued[n]}
					if n%3 == 0 {
						u.IssuedAt = 0
					}
					if n%7 == 0 {
						u.Deadline = 1
					}
					d := v.controller.Admit(now, u)
					if d.Admitted {
						runs[n]++
						admitted++
					}
					reportedNotRun[n] = reportedNotRun[n] || d.NotRun()
					assert.Assert(t, runs[n] <= 1, "unit %d ran twice", n)
					assert.Assert(t, runs[n] == 0 || !reportedNotRun[n], "unit %d ran and was reported not to have run", n)
				}
			}
		}
	})
	t.Logf("%d units ran, each simulation lasting %v", admitted, clusterEnd)
	assert.Assert(t, admitted > 0)
}
