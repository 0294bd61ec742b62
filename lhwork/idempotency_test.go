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

func identity(n uint64) lhwork.Identity {
	var i lhwork.Identity
	binary.BigEndian.PutUint64(i[:8], n*0x9e3779b97f4a7c15)
	binary.BigEndian.PutUint64(i[8:], n+1)
	return i
}

func TestIdentityOutcome(t *testing.T) {
	c := &lhwork.Controller{}
	c.SetTable(0, lhplace.NewTable(fleet(2)))
	u := lhwork.Unit{Key: testKey, Identity: identity(1), Deadline: time.Second}
	late := lhwork.Unit{Key: testKey, Identity: identity(2), Deadline: time.Second}
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
	c.Finish(u.Identity)
	assert.Equal(t, c.Admit(time.Second, u).Outcome, lhwork.OutcomeDone)
	old := lhwork.Unit{Key: testKey, Identity: identity(3), Minted: time.Second}
	assert.Equal(t, c.Admit(time.Second+lhwork.RetryHorizon, old).Reason, lhwork.ReasonNotKnown, "its record may have expired")
}

// world is a group of VMs that join, die and are cut off, with views that arrive
// late and differ.
type world struct {
	random *rand.Rand
	vms    []*worldVM
	// The cut lasts from cut to heal; VMs on different sides hear nothing of each
	// other meanwhile.
	cut, heal time.Duration
}

type worldVM struct {
	id                   lhflow.MemberID
	side                 int
	joined, died, listed time.Duration
	controller           lhwork.Controller
	members              []lhflow.Member
	lost                 []lhflow.MemberID
	// lag is how late this VM hears of the change of another.
	lag []time.Duration
}

const worldEnd = 600 * time.Second

func newWorld(seed uint64) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 0))}
	w.cut = w.within(worldEnd)
	w.heal = w.cut + w.within(worldEnd)
	table := lhplace.NewTable(fleet(2))
	const vms = 7
	for i := range vms {
		v := &worldVM{id: lhflow.MemberID(100 + w.random.Uint64()>>8), side: w.random.IntN(2), died: 2 * worldEnd}
		if i >= 3 {
			v.joined = w.within(worldEnd)
		}
		if i < 2 {
			// One VM from before the cut lives on each side.
			v.side = i
		} else if w.random.IntN(2) == 0 {
			v.died = v.joined + w.within(worldEnd/2)
		}
		v.listed = v.died + w.within(60*time.Second)
		for range vms {
			v.lag = append(v.lag, w.within(lhwork.PartHold))
		}
		v.controller.SetTable(0, table)
		w.vms = append(w.vms, v)
	}
	return w
}

func (w *world) within(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// apart reports whether two VMs can't reach each other.
func (w *world) apart(a, b *worldVM, now time.Duration) bool {
	return a.side != b.side && now >= w.cut && now < w.heal
}

// heard reports whether v knows by now of what happened to VM i at a time.
func (w *world) heard(v *worldVM, i int, at, now time.Duration) bool {
	o := w.vms[i]
	if v != o && v.side != o.side && at+v.lag[i] >= w.cut && at < w.heal {
		at = w.heal
	}
	return v == o && now >= at || now >= at+v.lag[i]
}

// look gives v the view that it has at now, if it has changed.
func (w *world) look(v *worldVM, now time.Duration) {
	var members []lhflow.Member
	var lost []lhflow.MemberID
	for i, o := range w.vms {
		switch {
		case o.joined > 0 && !w.heard(v, i, o.joined, now) || w.heard(v, i, o.listed, now):
		case w.heard(v, i, o.died, now) || w.apart(v, o, now):
			lost = append(lost, o.id)
		default:
			members = append(members, lhflow.Member{ID: o.id, State: lhflow.Active})
		}
	}
	if slices.Equal(members, v.members) && slices.Equal(lost, v.lost) {
		return
	}
	v.members, v.lost = members, lost
	v.controller.SetView(now, lhflow.NewView(1, v.id, members), lost)
}

// TestIdentityRunsOnce repeats units at any VM of a changing world: none runs
// twice, and none runs that was said not to have run.
func TestIdentityRunsOnce(t *testing.T) {
	admitted := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		runs, told := map[uint64]int{}, map[uint64]bool{}
		minted := []time.Duration{}
		for now := time.Duration(0); now < worldEnd; now += time.Second {
			minted = append(minted, now)
			for _, v := range w.vms {
				if now < v.joined || now >= v.died {
					continue
				}
				w.look(v, now)
				for range 4 {
					n := uint64(len(minted) - 1 - w.random.IntN(min(len(minted), int(lhwork.RetryHorizon/time.Second))))
					u := lhwork.Unit{Key: testKey, Identity: identity(n), Minted: minted[n]}
					if n%3 == 0 {
						u.Minted = 0
					}
					if n%7 == 0 {
						u.Deadline = 1
					}
					d := v.controller.Admit(now, u)
					if d.Admitted {
						runs[n]++
						admitted++
					}
					told[n] = told[n] || d.NotRun()
					assert.Assert(t, runs[n] <= 1, "%d runs twice", n)
					assert.Assert(t, runs[n] == 0 || !told[n], "%d runs and was said not to", n)
				}
			}
		}
	})
	t.Logf("%d units ran, each world lasting %v", admitted, worldEnd)
	assert.Assert(t, admitted > 0)
}
