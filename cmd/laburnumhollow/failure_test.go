package main

import (
	"bufio"
	"fmt"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// feed is a connection on which a backend server pushes numbered lines all the time.
type feed struct {
	conn *lhstand.Conn
	// lines counts the lines that came, whole and in order.
	lines atomic.Int64
	// pause is the longest time between two lines, in nanoseconds.
	pause atomic.Int64
	ended chan error
}

// openFeed opens a feed and waits for its first lines.
func (f *fleet) openFeed(id string) *feed {
	f.t.Helper()
	d := &feed{conn: f.dial(cutdesk), ended: make(chan error, 1)}
	request := lhstand.Request{ID: id, Lines: 1 << 20, Gap: 5 * time.Millisecond}
	assert.NilError(f.t, request.Send(d.conn))
	go func() { d.ended <- d.read(request) }()
	f.awaitLines(d, 3)
	return d
}

func (d *feed) read(request lhstand.Request) error {
	from := bufio.NewReader(d.conn)
	if _, err := request.ReceiveHead(from); err != nil {
		return err
	}
	last := time.Now()
	for n := 0; ; n++ {
		if err := request.ReceiveLine(from, n); err != nil {
			return err
		}
		d.pause.Store(max(d.pause.Load(), int64(time.Since(last))))
		last = time.Now()
		d.lines.Add(1)
	}
}

// awaitLines waits until more lines have come than there were.
func (f *fleet) awaitLines(d *feed, more int64) {
	f.t.Helper()
	want := d.lines.Load() + more
	poll.WaitOn(f.t, func(poll.LogT) poll.Result {
		select {
		case err := <-d.ended:
			return poll.Error(fmt.Errorf("the feed ended: %w", err))
		default:
		}
		if d.lines.Load() < want {
			return poll.Continue("%d lines of %d", d.lines.Load(), want)
		}
		return poll.Success()
	}, poll.WithTimeout(patience), poll.WithDelay(10*time.Millisecond))
}

// held is what a test keeps open over a failure: a feed and idle connections.
type held struct {
	feed  *feed
	conns []*lhstand.Conn
	// replies are who has answered each connection so far.
	replies []lhstand.Reply
}

func (f *fleet) hold(idle int) *held {
	f.t.Helper()
	h := &held{feed: f.openFeed("feed")}
	for i := range idle {
		c := f.dial(cutdesk)
		h.conns = append(h.conns, c)
		h.replies = append(h.replies, f.ask(c, fmt.Sprint("before-", i), "cutdesk"))
	}
	return h
}

// verify checks that the feed runs, that every connection still reaches its
// server, that new ones are served, and that no request ran twice.
func (f *fleet) verify(h *held, when string) {
	f.t.Helper()
	f.awaitLines(h.feed, 3)
	f.t.Logf("%s: the longest pause of the feed was %v", when, time.Duration(h.feed.pause.Load()))
	for i, c := range h.conns {
		assert.Equal(f.t, f.ask(c, fmt.Sprint(when, "-", i), "cutdesk"), h.replies[i])
	}
	for i := range 5 {
		c := f.dial(proofbox)
		f.ask(c, fmt.Sprint(when, "-new-", i), "proofbox")
		assert.NilError(f.t, c.Close())
		assert.Equal(f.t, c.Wait(), lhstand.Whole)
	}
	f.assertRunOnce()
}

// TestRollingReplacement replaces every VM in turn by a planned stop, with a feed
// open all the time and connections that are idle meanwhile.
func TestRollingReplacement(t *testing.T) {
	f := newFleet(t, "sapporo-a", "sapporo-b", "ebetsu")
	h := f.hold(20)
	for i, old := range append([]*process(nil), f.vms...) {
		f.startVM([]string{"sapporo-a", "sapporo-b", "ebetsu"}[i])
		f.awaitReady()
		f.signal(old, syscall.SIGTERM)
		f.awaitLog(old, "leaving")
		f.routeWithout(old)
		assert.NilError(t, f.awaitEnd(old))
		f.awaitReady()
		f.awaitLines(h.feed, 3)
	}
	f.verify(h, "after")
}

// TestStopsInARow stops three of five VMs as planned, each as soon as the one before
// has ended. No flow is left with VMs that are gone.
func TestStopsInARow(t *testing.T) {
	f := &fleet{t: t, dir: t.TempDir(), control: "500B/s"}
	f.start("sapporo-a", "sapporo-b", "ebetsu", "sapporo-a", "sapporo-b")
	h := f.hold(300)
	for _, p := range f.vms[:3] {
		f.signal(p, syscall.SIGTERM)
		f.awaitLog(p, "leaving")
		f.routeWithout(p)
		assert.NilError(t, f.awaitEnd(p))
	}
	f.verify(h, "after")
}

func (f *fleet) routeWithout(out *process) {
	var rest []*process
	for _, p := range f.running() {
		if p != out {
			rest = append(rest, p)
		}
	}
	f.route(rest...)
}

// TestKill kills one VM of three while flows are open, and replaces it.
func TestKill(t *testing.T) {
	f := newFleet(t, "sapporo-a", "sapporo-b", "ebetsu")
	h := f.hold(20)
	victim := f.vms[1]
	f.signal(victim, syscall.SIGKILL)
	f.routeWithout(victim)
	assert.ErrorContains(t, f.awaitEnd(victim), "killed")
	f.verify(h, "killed")
	f.startVM("sapporo-b")
	f.awaitReady()
	f.verify(h, "replaced")
}

// TestFreeze stops a VM past its heartbeat and lets it go on. The group goes on
// without it meanwhile; then it joins anew and serves.
func TestFreeze(t *testing.T) {
	f := newFleet(t, "sapporo-a", "sapporo-b", "ebetsu")
	h := f.hold(20)
	frozen, other := f.vms[2], f.vms[0]
	f.signal(frozen, syscall.SIGSTOP)
	f.routeWithout(frozen)
	f.awaitDump(other, "without the frozen VM", func(d lhops.Dump) bool { return len(d.Members) == 2 })
	f.verify(h, "frozen")
	f.signal(frozen, syscall.SIGCONT)
	f.awaitReady()
	f.verify(h, "thawed")
}

// TestPlatformDown starts and kills VMs while the platform does not answer. A new
// VM takes the configuration from its peers.
func TestPlatformDown(t *testing.T) {
	f := newFleet(t, "sapporo-a", "sapporo-b", "ebetsu")
	h := f.hold(10)
	f.platform.SetDown(true)
	f.startVM("ebetsu")
	f.awaitReady()
	f.verify(h, "joined")
	victim := f.vms[0]
	f.signal(victim, syscall.SIGKILL)
	f.routeWithout(victim)
	f.verify(h, "killed")
	f.platform.SetDown(false)
}

// TestDrain drains a backend server while its connections are open. They stay,
// and no new ones come.
func TestDrain(t *testing.T) {
	f := newFleet(t, "sapporo-a", "ebetsu")
	h := f.hold(20)
	name := h.replies[0].Server
	code, stdout, stderr := runCLI(t, "drain", name, "--platform", f.platform.URL())
	assert.Equal(t, code, exitOK, "%s%s", stdout, stderr)
	for _, p := range f.vms {
		f.awaitDump(p, "at revision 2", func(d lhops.Dump) bool { return d.Revision == 2 })
	}
	before := f.servers[name].Counts().Accepted
	for i := range 30 {
		c := f.dial(cutdesk)
		reply := f.ask(c, fmt.Sprint("drained-", i), "cutdesk")
		assert.Assert(t, reply.Server != name)
	}
	assert.Equal(t, f.servers[name].Counts().Accepted, before)
	f.verify(h, "undrained")
}

// TestServerFails lets a backend server fall silent, refuse and answer late. Flows that
// open get another server within the retry budget, or are refused and do not run. A
// server's own refusal goes to the caller, so how many there are is not bounded.
func TestServerFails(t *testing.T) {
	f := newFleet(t, "sapporo-a", "ebetsu")
	for i := range 200 {
		// First tries pay for the retries.
		assert.NilError(t, f.request(fmt.Sprint("first-", i)))
	}
	for i, b := range []lhstand.Behavior{{Silent: true}, {Refusing: true}, {Work: 300 * time.Millisecond}} {
		f.servers["cutdesk-1"].Set(func(now *lhstand.Behavior) { *now = b })
		served := 0
		for n := range 20 {
			id := fmt.Sprint("failing-", i, "-", n)
			err := f.request(id)
			assert.Assert(t, err == nil || err == lhstand.Refused, "%v", err)
			runs := 0
			for _, s := range f.servers {
				runs += s.Runs(id)
			}
			assert.Equal(t, runs == 1, err == nil, "%s: %v, and it ran %d times", id, err, runs)
			served += runs
		}
		assert.Assert(t, served >= 18 || b.Refusing, "%+v: %d of 20", b, served)
	}
	f.assertRunOnce()
}

// TestServerDies ends a backend server with connections open. Their callers are
// told by a reset; nothing of theirs goes to another server.
func TestServerDies(t *testing.T) {
	f := newFleet(t, "sapporo-a", "ebetsu")
	h := f.hold(12)
	name := h.replies[0].Server
	f.servers[name].Restart()
	for i, c := range h.conns {
		_, err := lhstand.Request{ID: fmt.Sprint("dead-", i), Bytes: 100}.Do(c)
		if h.replies[i].Server == name {
			assert.ErrorIs(t, err, lhstand.Reset)
		} else {
			assert.NilError(t, err)
		}
	}
	f.assertRunOnce()
}

// request opens a connection, has one request answered and closes it.
func (f *fleet) request(id string) error {
	f.t.Helper()
	c, err := f.open(cutdesk)
	if err != nil {
		return err
	}
	if _, err := (lhstand.Request{ID: id, Bytes: 100}).Do(c); err != nil {
		return err
	}
	if err := c.Close(); err != nil {
		return err
	}
	c.Wait()
	return nil
}

// assertRunOnce checks that no request ran twice, at one server or at two.
func (f *fleet) assertRunOnce() {
	f.t.Helper()
	all := map[string]int{}
	for _, s := range f.servers {
		for id, runs := range s.AllRuns() {
			all[id] += runs
		}
	}
	for id, runs := range all {
		assert.Equal(f.t, runs, 1, id)
	}
}

// end stops one VM as planned and kills another at the same moment.
func (f *fleet) end(leaving, killed *process) {
	f.t.Helper()
	f.signal(leaving, syscall.SIGTERM)
	f.signal(killed, syscall.SIGKILL)
	var rest []*process
	for _, p := range f.running() {
		if p != leaving && p != killed {
			rest = append(rest, p)
		}
	}
	f.route(rest...)
	assert.ErrorContains(f.t, f.awaitEnd(killed), "killed")
	assert.NilError(f.t, f.awaitEnd(leaving))
}
