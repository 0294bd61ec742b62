package lhpeer

import (
	"flag"
	"net/netip"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// hokkaido holds three data centres; tests distribute 7 VMs over them.
var hokkaido = []string{"sapporo-a", "sapporo-b", "ebetsu"}

const seeds = 20

// TestMain sets a fixed seed for the property tests unless the command line sets
// one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		if err := f.Value.Set("20261204"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func TestChangesConverge(t *testing.T) {
	cases := []struct {
		name string
		// change is applied to a group of 7; active is the resulting number of
		// active members.
		change func(f *fleet)
		active int
	}{
		{"one joins", func(f *fleet) { f.add("ebetsu", 2) }, 8},
		{"two join", func(f *fleet) { f.add("ebetsu", 2); f.add("ebetsu", 1) }, 9},
		{"one is killed", func(f *fleet) { f.vms[3].down = true }, 6},
		{"two are killed", func(f *fleet) { f.vms[0].down = true; f.vms[3].down = true }, 5},
		{"one joins while one is killed", func(f *fleet) { f.add("ebetsu", 3); f.vms[1].down = true }, 7},
		{"the only contact is killed", func(f *fleet) { f.add("ebetsu", 2); f.run(tick); f.vms[0].down = true }, 7},
		{"one leaves", func(f *fleet) { f.vms[2].Leave(); f.run(time.Second); f.vms[2].FinishLeave() }, 6},
		{"one leaves while one is killed", func(f *fleet) {
			f.vms[2].Leave()
			f.vms[4].down = true
			f.run(time.Second)
			f.vms[2].FinishLeave()
		}, 5},
		{"one is killed while it leaves", func(f *fleet) {
			f.vms[2].Leave()
			f.run(time.Second)
			f.vms[2].down = true
		}, 6},
		{"one is killed and restarts", func(f *fleet) {
			f.vms[5].down = true
			f.run(300 * time.Millisecond)
			f.start(f.vms[5], 3)
		}, 7},
		{"one is killed twice", func(f *fleet) {
			for range 2 {
				f.vms[5].down = true
				f.run(300 * time.Millisecond)
				f.start(f.vms[5], 3)
				f.run(300 * time.Millisecond)
			}
		}, 7},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachSeed(t, seeds, func(_ *testing.T, f *fleet) {
				f.group(7, hokkaido...)
				c.change(f)
				f.until(30*time.Second, "agreement", func() bool { return f.allActive(c.active) })
			})
		})
	}
}

func TestFrozenMemberRejoins(t *testing.T) {
	cases := []struct {
		name    string
		freeze  time.Duration
		rejoins bool
	}{
		{"unnoticed", 300 * time.Millisecond, false},
		{"unreachable", 10 * time.Second, true},
		{"dead", time.Minute, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachSeed(t, seeds, func(t *testing.T, f *fleet) {
				f.group(7, hokkaido...)
				v := f.vms[2]
				old := v.Self().ID
				v.frozen = true
				f.run(c.freeze)
				v.frozen = false
				f.until(30*time.Second, "agreement", func() bool { return f.allActive(7) && (v.Self().ID != old) == c.rejoins })
				f.run(10 * time.Second)
				assert.Equal(t, v.Self().ID != old, c.rejoins)
			})
		})
	}
}

func TestRejoinKeepsTheOthersInView(t *testing.T) {
	cases := []struct {
		name  string
		leave bool
		want  int
	}{
		{"active", false, 7},
		{"leaving", true, 6},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFleet(t, 1)
			f.group(7, hokkaido...)
			m := f.vms[2].Membership
			if c.leave {
				m.Leave()
			}
			next := m.Rejoin(f.now, m.Self().ID+1)
			assert.Equal(t, len(next.View().Members), c.want)
			assert.Equal(t, next.View().Version, m.View().Version+1)
			_, ok := next.View().Member(m.Self().ID)
			assert.Assert(t, !ok)
		})
	}
}

func TestPartitionedDataCentreKeepsItsMemberIDs(t *testing.T) {
	cases := []struct {
		name     string
		duration time.Duration
	}{
		{"short", 10 * time.Second},
		{"long", 5 * time.Minute},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			forEachSeed(t, seeds, func(t *testing.T, f *fleet) {
				f.group(7, hokkaido...)
				before := f.ids()
				inside := func(v *vm) bool { return v.dataCentre == "ebetsu" }
				outside := func(v *vm) bool { return !inside(v) }
				f.partitioned = func(a, b *vm) bool { return inside(a) != inside(b) }
				f.until(10*time.Second, "agreement on each side of the partition", func() bool { return f.agree(inside) && f.agree(outside) })
				assert.Assert(t, len(f.vms[0].Unreachable()) > 0)
				f.run(c.duration)
				f.partitioned = nil
				f.until(time.Minute, "agreement", func() bool { return f.allActive(7) })
				f.run(30 * time.Second)
				assert.Assert(t, f.allActive(7))
				assert.DeepEqual(t, f.ids(), before)
			})
		})
	}
}

func TestIsolatedMemberDeclaresNoneDead(t *testing.T) {
	forEachSeed(t, seeds, func(t *testing.T, f *fleet) {
		f.group(7, "ebetsu")
		before := f.ids()
		isolated := f.vms[3]
		f.partitioned = func(a, b *vm) bool { return a == isolated || b == isolated }
		f.run(10 * time.Minute)
		assert.Equal(t, isolated.Counts().Deaths, uint64(0))
		assert.Equal(t, len(isolated.View().Members), 1)
		f.partitioned = nil
		f.until(time.Minute, "agreement", func() bool { return f.allActive(7) })
		for i, v := range f.vms {
			assert.Equal(t, v.Self().ID == before[i], v != isolated)
		}
	})
}

func TestContactListDoesNotChangeMembership(t *testing.T) {
	forEachSeed(t, seeds, func(t *testing.T, f *fleet) {
		f.group(3, "ebetsu")
		dead := f.vms[2]
		dead.down = true
		for range 60 {
			f.run(time.Second)
			// The contact list is outdated: it lacks the second VM and still
			// contains the dead one.
			f.vms[0].AddContacts([]netip.AddrPort{f.vms[0].control, dead.control})
		}
		assert.Assert(t, f.allActive(2))
	})
}

func TestMemberActivatesOnlyAfterHandOver(t *testing.T) {
	forEachSeed(t, seeds, func(t *testing.T, f *fleet) {
		f.group(3, "ebetsu")
		f.vms[1].handOverBlocked = true
		joining := f.add("ebetsu", 1)
		f.run(time.Minute)
		assert.Equal(t, joining.Self().State, lhflow.Joining)
		f.vms[1].down = true
		f.until(20*time.Second, "active", func() bool { return f.allActive(3) })
	})
}

func TestRandomFaultsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t, rapid.Uint64().Draw(t, "seed"))
		// stopped holds the VMs whose process was killed, frozen or restarted.
		stopped := make(map[*vm]bool)
		f.onTick = f.watchInvariants(t, stopped)
		f.group(rapid.IntRange(2, 6).Draw(t, "size"), hokkaido...)
		inside := func(v *vm) bool { return v.dataCentre == "ebetsu" }
		f.loss = rapid.SampledFrom([]float64{0, 0.01, 0.05}).Draw(t, "loss")
		for range rapid.IntRange(1, 8).Draw(t, "changes") {
			v := f.vms[rapid.IntRange(0, len(f.vms)-1).Draw(t, "vm")]
			switch rapid.SampledFrom([]string{"add", "kill", "restart", "freeze", "thaw", "leave", "cut", "heal"}).Draw(t, "change") {
			case "add":
				f.add(rapid.SampledFrom(hokkaido).Draw(t, "data centre"), len(f.vms))
			case "kill":
				v.down = true
				stopped[v] = true
			case "restart":
				f.start(v, len(f.vms))
				stopped[v] = true
			case "freeze":
				v.frozen = true
				stopped[v] = true
			case "thaw":
				v.frozen = false
			case "leave":
				v.Leave()
			case "cut":
				f.partitioned = func(a, b *vm) bool { return inside(a) != inside(b) }
			case "heal":
				f.partitioned = nil
			}
			f.run(time.Duration(rapid.IntRange(0, 20_000).Draw(t, "milliseconds")) * time.Millisecond)
		}
		f.loss = 0
		f.partitioned = nil
		f.until(2*time.Minute, "agreement", func() bool { return f.agree(everyVM) })
		f.run(5 * time.Second)
		assert.Assert(t, f.agree(everyVM))
		for _, v := range f.vms {
			assert.Assert(t, stopped[v] || !v.rejoined, "%s has rejoined under a new ID", v.name)
		}
	})
}

// watchInvariants returns a check to run after each tick of a VM: states only
// advance, the view version of a VM that ran throughout never decreases, and a
// member becomes active only after hand-over.
func (f *fleet) watchInvariants(t *rapid.T, stopped map[*vm]bool) func(*vm) {
	type seen struct {
		by, of lhflow.MemberID
	}
	states := make(map[seen]lhflow.MemberState)
	views := make(map[*vm]uint64)
	return func(v *vm) {
		id := v.Self().ID
		assert.Assert(t, stopped[v] || v.View().Version >= views[v], "%s goes back to an earlier view", v.name)
		views[v] = v.View().Version
		for _, e := range append(v.Peers(), v.Self()) {
			key := seen{by: id, of: e.ID}
			assert.Assert(t, e.State >= states[key], "%s moves the state of %x backwards", v.name, e.ID)
			if e.ID == id && states[key] == lhflow.Joining {
				assert.Assert(t, e.State != lhflow.Leaving, "%s is leaving without having been active", v.name)
				if e.State == lhflow.Active {
					checkHandedOver(t, v)
				}
			}
			states[key] = e.State
		}
	}
}

func checkHandedOver(t *rapid.T, v *vm) {
	for _, p := range v.peers {
		assert.Assert(t, !p.ownsFlows() || p.handOverReceived, "%s is active before %s has handed over", v.name, p.Name)
	}
}

func (f *fleet) ids() []lhflow.MemberID {
	ids := make([]lhflow.MemberID, 0, len(f.vms))
	for _, v := range f.vms {
		ids = append(ids, v.Self().ID)
	}
	return ids
}
