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
	// maxPropagationTime is the limit for the time until every reachable VM has adopted a
	// change.
	maxPropagationTime = 4 * time.Second
)

// member is a VM of a group in simulated time, with its membership and its Follower.
type member struct {
	*lhpeer.Membership
	follower lhstore.Follower
	control  netip.AddrPort
	// period is how often the VM acts; longer than tick for a slow VM.
	period      time.Duration
	partitioned bool
	// pending is a revision that the VM has fetched and adopts when it acts next.
	pending lhstore.Position
	// adoptedAt is when the VM adopted its revision.
	adoptedAt time.Duration
}

// group simulates members that distribute the revisions of a head by gossip.
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

// follow lets a VM adopt what it has fetched, and call the store.
func (g *group) follow(m *member) {
	g.adopt(m, m.pending)
	step := m.follower.Step(g.now, lhstore.Watches(m.View()))
	waits := step.Kind == lhstore.StepWatch && m.follower.StoreHead() == g.head
	switch {
	case step.Kind == lhstore.StepWait || waits && !m.partitioned:
		return
	case m.partitioned:
		m.follower.StoreFailed(g.now, true, 0.5)
		return
	}
	g.calls++
	if m.follower.HeadRead(g.now, g.head, fmt.Sprint(g.head), 0.5) == lhstore.HeadLoad {
		m.follower.StoreSucceeded()
		g.adopt(m, g.head)
	}
}

func (g *group) adopt(m *member, at lhstore.Position) {
	if at.Newer(m.follower.Current()) && m.follower.Adopt(at, m.follower.Current()) == nil {
		m.SetRevision(lhpeer.Revision{Number: at.Revision, Digest: at.Digest})
		m.adoptedAt = g.now
	}
}

func (g *group) send(m *member, r lhpeer.Request) {
	to := g.byControl[r.Control]
	if m.partitioned || to.partitioned {
		for _, next := range m.HandleFailure(g.now, r) {
			g.send(m, next)
		}
		return
	}
	reply, probe := to.Receive(g.now, r.Message)
	reply.Reached = probe != nil && !g.byControl[probe.Control].partitioned
	m.HandleResponse(g.now, r, reply)
	receiveRevision(to, r.Message.Revision)
	receiveRevision(m, reply.Revision)
}

func receiveRevision(m *member, r lhpeer.Revision) {
	if at := (lhstore.Position{Revision: r.Number, Digest: r.Digest}); at.Newer(m.pending) {
		m.pending = at
	}
}

// change accepts a revision and returns the time until the last reachable VM has
// adopted it.
func (g *group) change() time.Duration {
	g.head = lhstore.Position{Revision: g.head.Revision + 1, Digest: g.head.Revision + 1}
	accepted, last := g.now, g.now
	g.run(2 * maxPropagationTime)
	for _, m := range g.members {
		if !m.partitioned && m.follower.Current() != g.head {
			return 2 * maxPropagationTime
		}
		if !m.partitioned {
			last = max(last, m.adoptedAt)
		}
	}
	return last - accepted
}

// propagationTimes returns the longest time until all VMs adopt a change: with healthy
// VMs, with one VM that acts only once a second, and, for a VM that was partitioned,
// since its reconnection.
func propagationTimes(size, dataCentres int) (healthy, slow, reconnected time.Duration) {
	const changes = 10
	g := newGroup(size, dataCentres)
	g.run(time.Minute)
	for range changes {
		healthy = max(healthy, g.change())
	}
	lost := g.members[2]
	lost.partitioned = true
	g.members[1].period = time.Second
	for range changes {
		slow = max(slow, g.change())
	}
	reconnectedAt := g.now
	lost.partitioned = false
	for lost.follower.Current() != g.head {
		g.step()
	}
	return healthy, slow, g.now - reconnectedAt
}

// TestPropagationTime logs how long it takes until every VM has adopted a change.
func TestPropagationTime(t *testing.T) {
	cases := []struct{ size, dataCentres int }{{8, 3}, {8, 4}, {32, 4}, {96, 1}}
	for _, c := range cases {
		healthy, slow, reconnected := propagationTimes(c.size, c.dataCentres)
		t.Logf("%d VMs in %d data centres: all VMs healthy %v, one slow %v, after a partition %v",
			c.size, c.dataCentres, healthy, slow, reconnected)
		for _, d := range []time.Duration{healthy, slow, reconnected} {
			assert.Assert(t, d <= maxPropagationTime, "%v", d)
		}
	}
}

// BenchmarkPropagationTime is TestPropagationTime for one data centre of a deployment of
// 5,700 VMs in 15 data centres.
func BenchmarkPropagationTime(b *testing.B) {
	for b.Loop() {
		healthy, slow, reconnected := propagationTimes(380, 1)
		b.ReportMetric(healthy.Seconds(), "s/well")
		b.ReportMetric(slow.Seconds(), "s/slow")
		b.ReportMetric(reconnected.Seconds(), "s/back")
	}
}

// storeCalls returns the calls per second that VMs make to the store if those that don't
// watch it get each change from peers. All VMs watch if watchers equals vms.
func storeCalls(vms, watchers int, down bool) (mean, peak float64) {
	const span = 20 * time.Minute
	rng := rand.New(rand.NewPCG(1, 1))
	followers := make([]lhstore.Follower, vms)
	watchUntil := make([]time.Duration, vms)
	var head lhstore.Position
	total := 0
	for now := time.Duration(0); now < span; now += time.Second {
		if uint64(now/changePeriod) > head.Revision {
			head.Revision++
		}
		calls := 0
		for i := range followers {
			calls += stepFollower(&followers[i], &watchUntil[i], now, i < watchers, head, down, rng)
		}
		total += calls
		peak = max(peak, float64(calls))
	}
	return float64(total) / span.Seconds(), peak
}

// stepFollower simulates a VM for one second and returns the number of its calls.
func stepFollower(f *lhstore.Follower, watchUntil *time.Duration, now time.Duration, watching bool, head lhstore.Position, down bool, rng *rand.Rand) int {
	next := f.Step(now, watching)
	switch {
	case next.Kind == lhstore.StepWait:
		return 0
	case down:
		f.StoreFailed(now, watching, rng.Float64())
		return 1
	case next.Kind == lhstore.StepWatch && f.StoreHead() == head:
		if now < *watchUntil {
			return 0
		}
		*watchUntil = now + lhstore.WatchWait
		return 1
	}
	*watchUntil = now + lhstore.WatchWait
	if f.HeadRead(now, head, "e", rng.Float64()) != lhstore.HeadLoad {
		return 2
	}
	f.StoreSucceeded()
	_ = f.Adopt(head, f.Current())
	// The head, the manifest and the next watch.
	return 3
}

// TestStoreCalls logs the rate of calls to the store by the number of VMs, and compares
// it with the 2,000 reads per second that the store supports.
func TestStoreCalls(t *testing.T) {
	const budget = 2000
	cases := []struct{ vms, dataCentres int }{{8, 3}, {8, 4}, {380, 1}, {1900, 5}, {5700, 15}}
	for _, c := range cases {
		watchers := c.dataCentres * lhstore.WatchersPerDataCentre
		mean, peak := storeCalls(c.vms, watchers, false)
		outage, _ := storeCalls(c.vms, watchers, true)
		allWatching, _ := storeCalls(c.vms, c.vms, false)
		t.Logf("%4d VMs, %2d data centres: %.2f calls/s (%.0f in the first second), %.1f in an outage, %.1f if all watched",
			c.vms, c.dataCentres, mean, peak, outage, allWatching)
		assert.Assert(t, mean < budget/10 && outage < budget/4)
	}
}

// generateFiles returns a configuration with one file for each service and its servers.
func generateFiles(services, servers int) []lhstore.FileChange {
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
		files[i] = fileChange(fmt.Sprintf("%05d-shop.ini", i), t)
	}
	return files
}

// BenchmarkChange applies a change of one file among many, and reports the bytes moved,
// the calls made and the time that a VM spends on it.
func BenchmarkChange(b *testing.B) {
	cases := []struct {
		name              string
		services, servers int
	}{{"today", 2, 18}, {"tenth", 1600, 4100}, {"full", 16000, 41000}}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			platform, store := startPlatform(b)
			files := generateFiles(c.services, c.servers)
			applier := lhstore.NewApplier(store, nil, nil, nil)
			_, err := applier.Apply(b.Context(), change("first", files...))
			assert.NilError(b, err)
			source := startVM(b, store, true)
			source.wait(b, 1)
			var inForce lhconf.Config
			target := lhstore.NewRunner(store, nil, func(config lhconf.Config) { inForce = config })
			snapshotBytes, heapMB := measureSnapshot(b, source, target)

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
				source.wait(b, uint64(n+1))
				_, content, err := source.Content(b.Context(), uint64(n), uint64(n+1))
				assert.NilError(b, err)
				started := time.Now()
				assert.NilError(b, target.Accept(b.Context(), uint64(n+1), content))
				spent += time.Since(started)
				moved += len(content)
			}
			assert.Equal(b, inForce.Revision, uint64(n+1))
			now := platform.Counts()
			b.ReportMetric(snapshotBytes, "B/whole")
			b.ReportMetric(heapMB, "MB/VM")
			b.ReportMetric(float64(moved)/float64(n), "B/change")
			b.ReportMetric(spent.Seconds()*1e3/float64(n), "ms/VM")
			b.ReportMetric(float64(now.Writes-counts.Writes)/float64(n), "writes/change")
			b.ReportMetric(float64(now.Reads-counts.Reads)/float64(n), "reads/change")
		})
	}
}

// measureSnapshot returns the bytes that a joining VM receives, and the memory that it
// uses afterwards.
func measureSnapshot(b *testing.B, source vm, target *lhstore.Runner) (bytes, megabytes float64) {
	_, content, err := source.Content(b.Context(), 0, 1)
	assert.NilError(b, err)
	var before, after runtime.MemStats
	readMemStats(&before)
	assert.NilError(b, target.Accept(b.Context(), 1, content))
	readMemStats(&after)
	return float64(len(content)), (float64(after.HeapAlloc) - float64(before.HeapAlloc)) / (1 << 20)
}

// readMemStats reads the memory statistics after all garbage is collected; the second
// collection frees the contents of pools.
func readMemStats(m *runtime.MemStats) {
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(m)
}
