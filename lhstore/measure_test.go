package lhstore_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

const (
	// tick is the step of simulated time.
	tick = 50 * time.Millisecond
	// changePeriod is the time between changes at 11,000 a day.
	changePeriod = 24 * time.Hour / 11000
	// spreadLimit is within what a change is in force on every VM that can be reached.
	spreadLimit = 4 * time.Second
)

// member is one VM of a group in simulated time: its membership and its Follower.
type member struct {
	*lhpeer.Membership
	follower lhstore.Follower
	control  netip.AddrPort
	// period is how often the VM acts; more than tick for a slow one.
	period time.Duration
	cut    bool
	// ready holds a revision that the VM has fetched and puts in force at its next turn.
	ready lhstore.Position
	// inForce is when the VM's revision came into force.
	inForce time.Duration
}

// group drives members that spread the revisions of a head by gossip.
type group struct {
	now       time.Duration
	head      lhstore.Position
	members   []*member
	byControl map[netip.AddrPort]*member
	calls     int
}

func newGroup(size, dataCentres int) *group {
	g := &group{byControl: map[netip.AddrPort]*member{}}
	first := netip.MustParseAddrPort("10.0.0.0:7000")
	for i := range size {
		m := &member{period: tick}
		m.control = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		self := lhflow.Member{
			ID:         lhflow.MemberID(i + 1),
			DataCentre: fmt.Sprint("dc-", i%dataCentres),
			Control:    m.control,
		}
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		m.Membership = lhpeer.Join(0, self, []netip.AddrPort{first}, lhpeer.Timing{}, rng)
		g.members = append(g.members, m)
		g.byControl[m.control] = m
	}
	return g
}

func (g *group) run(d time.Duration) {
	for end := g.now + d; g.now < end; {
		g.step()
	}
}

func (g *group) step() {
	g.now += tick
	for _, m := range g.members {
		if g.now%m.period != 0 {
			continue
		}
		g.follow(m)
		for _, id := range m.PendingHandOvers() {
			m.HandOverSent(id)
			g.members[id-1].HandOverReceived(m.Self().ID)
		}
		for _, r := range m.Tick(g.now) {
			g.send(m, r)
		}
	}
}

// follow lets a VM put in force what it has fetched, and ask the store.
func (g *group) follow(m *member) {
	g.adopt(m, m.ready)
	step := m.follower.Step(g.now, lhstore.Watches(m.View()))
	waits := step.Kind == lhstore.StepWatch && m.follower.Seen() == g.head
	switch {
	case step.Kind == lhstore.StepRest || waits && !m.cut:
		return
	case m.cut:
		m.follower.StoreFailed(g.now, true, 0.5)
		return
	}
	g.calls++
	if m.follower.HeadRead(g.now, g.head, fmt.Sprint(g.head), 0.5) == lhstore.HeadLoad {
		m.follower.StoreAnswered()
		g.adopt(m, g.head)
	}
}

func (g *group) adopt(m *member, at lhstore.Position) {
	if at.Newer(m.follower.Held()) && m.follower.Adopt(at, m.follower.Held()) == nil {
		m.SetRevision(lhpeer.Revision{Number: at.Revision, Digest: at.Digest})
		m.inForce = g.now
	}
}

func (g *group) send(m *member, r lhpeer.Request) {
	to := g.byControl[r.Control]
	if m.cut || to.cut {
		for _, next := range m.HandleFailure(g.now, r) {
			g.send(m, next)
		}
		return
	}
	reply, probe := to.Receive(g.now, r.Message)
	reply.Reached = probe != nil && !g.byControl[probe.Control].cut
	m.HandleResponse(g.now, r, reply)
	notice(to, r.Message.Revision)
	notice(m, reply.Revision)
}

func notice(m *member, r lhpeer.Revision) {
	if at := (lhstore.Position{Revision: r.Number, Digest: r.Digest}); at.Newer(m.ready) {
		m.ready = at
	}
}

// change accepts a revision and returns the longest time until it is in force on
// a VM that is not cut off.
func (g *group) change() time.Duration {
	g.head = lhstore.Position{Revision: g.head.Revision + 1, Digest: g.head.Revision + 1}
	accepted, last := g.now, g.now
	g.run(2 * spreadLimit)
	for _, m := range g.members {
		if !m.cut && m.follower.Held() != g.head {
			return 2 * spreadLimit
		}
		if !m.cut {
			last = max(last, m.inForce)
		}
	}
	return last - accepted
}

// spread returns how long a change takes at most to be in force on every VM: with
// all well, with one that acts only once a second, and on one that was cut off
// since it is back.
func spread(size, dataCentres int) (well, slow, back time.Duration) {
	const changes = 10
	g := newGroup(size, dataCentres)
	g.run(time.Minute)
	for range changes {
		well = max(well, g.change())
	}
	cut := g.members[2]
	cut.cut = true
	g.members[1].period = time.Second
	for range changes {
		slow = max(slow, g.change())
	}
	healed := g.now
	cut.cut = false
	for cut.follower.Held() != g.head {
		g.step()
	}
	return well, slow, g.now - healed
}

// TestSpread prints how long an accepted change takes to be in force everywhere.
func TestSpread(t *testing.T) {
	cases := []struct{ size, dataCentres int }{{8, 3}, {8, 4}, {32, 4}, {96, 1}}
	for _, c := range cases {
		well, slow, back := spread(c.size, c.dataCentres)
		t.Logf("%d VMs in %d data centres: all well %v, one slow %v, back after a cut %v",
			c.size, c.dataCentres, well, slow, back)
		for _, d := range []time.Duration{well, slow, back} {
			assert.Assert(t, d <= spreadLimit, "%v", d)
		}
	}
}

// BenchmarkSpread is TestSpread for a data centre of 5,700 VMs in 15.
func BenchmarkSpread(b *testing.B) {
	for b.Loop() {
		well, slow, back := spread(380, 1)
		b.ReportMetric(well.Seconds(), "s/well")
		b.ReportMetric(slow.Seconds(), "s/slow")
		b.ReportMetric(back.Seconds(), "s/back")
	}
}

// storeCalls returns the calls a second that VMs make of the store, where peers
// bring each change to those that don't watch. Naively all of them watch.
func storeCalls(vms, watchers int, down bool) (mean, peak float64) {
	const span = 20 * time.Minute
	rng := rand.New(rand.NewPCG(1, 1))
	followers := make([]lhstore.Follower, vms)
	waiting := make([]time.Duration, vms)
	var head lhstore.Position
	total := 0
	for now := time.Duration(0); now < span; now += time.Second {
		if uint64(now/changePeriod) > head.Revision {
			head.Revision++
		}
		calls := 0
		for i := range followers {
			calls += step(&followers[i], &waiting[i], now, i < watchers, head, down, rng)
		}
		total += calls
		peak = max(peak, float64(calls))
	}
	return float64(total) / span.Seconds(), peak
}

// step lets one VM act for a second and returns its calls.
func step(f *lhstore.Follower, waiting *time.Duration, now time.Duration, watching bool, head lhstore.Position, down bool, rng *rand.Rand) int {
	next := f.Step(now, watching)
	switch {
	case next.Kind == lhstore.StepRest:
		return 0
	case down:
		f.StoreFailed(now, watching, rng.Float64())
		return 1
	case next.Kind == lhstore.StepWatch && f.Seen() == head:
		if now < *waiting {
			return 0
		}
		*waiting = now + lhstore.WatchWait
		return 1
	}
	*waiting = now + lhstore.WatchWait
	if f.HeadRead(now, head, "e", rng.Float64()) != lhstore.HeadLoad {
		return 2
	}
	f.StoreAnswered()
	_ = f.Adopt(head, f.Held())
	// The head, the manifest and the next watch.
	return 3
}

// TestStoreCalls prints the calls of the store by the number of VMs, against the
// two thousand reads a second that it takes.
func TestStoreCalls(t *testing.T) {
	const budget = 2000
	cases := []struct{ vms, dataCentres int }{{8, 3}, {8, 4}, {380, 1}, {1900, 5}, {5700, 15}}
	for _, c := range cases {
		watchers := c.dataCentres * lhstore.WatchersPerDataCentre
		mean, peak := storeCalls(c.vms, watchers, false)
		outage, _ := storeCalls(c.vms, watchers, true)
		naive, _ := storeCalls(c.vms, c.vms, false)
		t.Logf("%4d VMs, %2d data centres: %.2f calls/s (%.0f in the first second), %.1f in an outage, %.1f if all watched",
			c.vms, c.dataCentres, mean, peak, outage, naive)
		assert.Assert(t, mean < budget/10 && outage < budget/4)
	}
}

// folderOf returns the files of a fleet: one for each service, with its servers.
func folderOf(services, servers int) []lhstore.FileChange {
	texts := make([]string, services)
	for i := range texts {
		texts[i] = fmt.Sprintf("[service shop-%05d]\naddress = 10.%d.%d.%d:443\nproto = tcp\n",
			i, i>>16&255, i>>8&255, i&255)
	}
	for i := range servers {
		texts[i%services] += fmt.Sprintf("[server shop-%05d-%d]\nservice = shop-%05d\n"+
			"address = 10.%d.%d.%d:6081\ndatacentre = dc-%02d\nslots = 2\nflows = 2000\n",
			i%services, i/services, i%services, 100+i>>16&255, i>>8&255, i&255, i%15)
	}
	files := make([]lhstore.FileChange, services)
	for i, t := range texts {
		files[i] = text(fmt.Sprintf("%05d-shop.ini", i), t)
	}
	return files
}

// BenchmarkChange accepts a change of one file among many, and reports the bytes
// that it moves, the calls that it makes and what a VM spends on it.
func BenchmarkChange(b *testing.B) {
	cases := []struct {
		name              string
		services, servers int
	}{{"today", 2, 18}, {"tenth", 1600, 4100}, {"full", 16000, 41000}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			platform, store := startPlatform(b)
			files := folderOf(c.services, c.servers)
			applier := lhstore.NewApplier(store, nil, nil, nil)
			_, err := applier.Apply(b.Context(), change("first", files...))
			assert.NilError(b, err)
			giver := startVM(b, store, true)
			giver.wait(b, 1)
			var inForce lhconf.Config
			taker := lhstore.NewRunner(store, nil, func(config lhconf.Config) { inForce = config })
			whole, held := measureWhole(b, giver, taker)

			counts := platform.Counts()
			var spent time.Duration
			var moved, n int
			for b.Loop() {
				n++
				file := &files[n%len(files)]
				file.Base = lhstore.Hash(file.Text)
				file.Text += "# changed\n"
				_, err := applier.Apply(b.Context(), change(fmt.Sprint(n), *file))
				assert.NilError(b, err)
				giver.wait(b, uint64(n+1))
				_, content, err := giver.Content(b.Context(), uint64(n), uint64(n+1))
				assert.NilError(b, err)
				started := time.Now()
				assert.NilError(b, taker.Accept(b.Context(), uint64(n+1), content))
				spent += time.Since(started)
				moved += len(content)
			}
			assert.Equal(b, inForce.Revision, uint64(n+1))
			now := platform.Counts()
			b.ReportMetric(whole, "B/whole")
			b.ReportMetric(held, "MB/VM")
			b.ReportMetric(float64(moved)/float64(n), "B/change")
			b.ReportMetric(spent.Seconds()*1e3/float64(n), "ms/VM")
			b.ReportMetric(float64(now.Writes-counts.Writes)/float64(n), "writes/change")
			b.ReportMetric(float64(now.Reads-counts.Reads)/float64(n), "reads/change")
		})
	}
}

// measureWhole returns what a VM that joins moves and then holds.
func measureWhole(b *testing.B, giver vm, taker *lhstore.Runner) (bytes, megabytes float64) {
	_, whole, err := giver.Content(b.Context(), 0, 1)
	assert.NilError(b, err)
	var before, after runtime.MemStats
	collect(&before)
	assert.NilError(b, taker.Accept(b.Context(), 1, whole))
	collect(&after)
	return float64(len(whole)), (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / (1 << 20)
}

// collect measures the heap once all garbage is gone, that of pools included.
func collect(m *runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(m)
}
