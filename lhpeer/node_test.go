package lhpeer

import (
	"context"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// quick is a Timing that lets tests with real sockets end soon.
var quick = Timing{
	Period:  100 * time.Millisecond,
	Probe:   200 * time.Millisecond,
	Suspect: 500 * time.Millisecond,
	Dead:    time.Second,
	Settle:  200 * time.Millisecond,
	Alone:   5 * time.Second,
}

// running is a node of a test and the means to end it.
type running struct {
	*Node
	stop context.CancelFunc
	done <-chan error
}

// startNode runs a node on an ephemeral port of the loopback.
func startNode(t testing.TB, s Settings) running {
	t.Helper()
	if !s.Self.Control.IsValid() {
		s.Self.Control = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if s.Timing == (Timing{}) {
		s.Timing = quick
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := NewNode(s)
	r := running{Node: n, stop: cancel, done: n.Run(ctx)}
	t.Cleanup(cancel)
	return r
}

// own returns the node's own entry.
func (r running) own() Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.member.Self()
}

func (r running) heartbeats() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.member.pings
}

// learn makes a node know another as if it had been told of it.
func (r running) learn(other running) {
	e := other.own()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.member.merge(0, e)
}

// startGroup runs nodes that know the first one, and waits until all are active.
func startGroup(t testing.TB, count int, settings func(i int) Settings) []running {
	t.Helper()
	nodes := []running{startNode(t, settings(0))}
	for i := 1; i < count; i++ {
		s := settings(i)
		s.Contacts = []netip.AddrPort{nodes[0].settings.Self.Control}
		nodes = append(nodes, startNode(t, s))
	}
	waitActive(t, nodes, count)
	return nodes
}

// waitActive waits until each node sees count members, all of them active.
func waitActive(t testing.TB, nodes []running, count int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i, n := range nodes {
			active := 0
			for _, m := range n.View().Members {
				if m.State == lhflow.Active {
					active++
				}
			}
			if active != count || len(n.View().Members) != count {
				return poll.Continue("node %d sees %d active of %v", i, active, n.View().Members)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func plain(int) Settings { return Settings{Self: lhflow.Member{DataCentre: "ebetsu"}} }

// taken keeps the records that a node was handed.
type taken struct {
	mu      sync.Mutex
	records []lhflow.Record
}

func (r *taken) Take(_ lhflow.MemberID, batch []lhflow.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, batch...)
}

func (r *taken) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// held is a configuration that is its own number.
type held struct{ revision atomic.Uint64 }

func (h *held) Revision() Revision {
	n := h.revision.Load()
	return Revision{Number: n, Digest: n}
}

func (h *held) Content(_ context.Context, _, _ uint64) (uint64, []byte, error) {
	n := h.revision.Load()
	return n, []byte(strconv.FormatUint(n, 10)), nil
}

func (h *held) Accept(_ context.Context, revision uint64, content []byte) error {
	if string(content) != strconv.FormatUint(revision, 10) {
		return lhcode.New(lhcode.Internal, "content of another revision")
	}
	for {
		n := h.revision.Load()
		if revision <= n || h.revision.CompareAndSwap(n, revision) {
			return nil
		}
	}
}

// wait waits until a condition holds.
func wait(t testing.TB, what string, holds func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if holds() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func TestRevisionReachesEveryNode(t *testing.T) {
	configs := []*held{{}, {}, {}, {}}
	startGroup(t, len(configs), func(i int) Settings {
		s := plain(i)
		s.Configs = configs[i]
		return s
	})
	for _, revision := range []uint64{1, 5} {
		configs[revision%4].revision.Store(revision)
		for _, c := range configs {
			wait(t, "the revision", func() bool { return c.revision.Load() == revision })
		}
	}
}

func TestHandOverLetsANodeOwn(t *testing.T) {
	old := startNode(t, Settings{Records: &taken{}})
	waitActive(t, []running{old}, 1)
	got := &taken{}
	next := startNode(t, Settings{
		Records:  got,
		Contacts: []netip.AddrPort{old.settings.Self.Control},
	})
	wait(t, "the joining member", func() bool { return len(old.Unreleased()) == 1 })
	id := old.Unreleased()[0]
	records := someRecords(3 * recordsPerCall / 2)
	ctx := context.Background()
	assert.NilError(t, old.Push(ctx, id, records, false))
	assert.Equal(t, got.count(), len(records))
	assert.Equal(t, next.own().State, lhflow.Joining)
	assert.NilError(t, old.Push(ctx, id, nil, true))
	waitActive(t, []running{old, next}, 2)
}

func TestPushNamesWhyItFailed(t *testing.T) {
	from, to := startNode(t, Settings{Timing: slow}), startNode(t, Settings{Timing: slow})
	wait(t, "the only heartbeat", func() bool { return from.heartbeats() == 1 })
	earlier := to.own()
	earlier.ID--
	from.mu.Lock()
	from.member.merge(0, earlier)
	from.mu.Unlock()
	ctx := context.Background()
	assert.Equal(t, lhcode.Of(from.Push(ctx, 1, nil, true)), lhcode.PeerUnknown)
	assert.Equal(t, lhcode.Of(from.Push(ctx, earlier.ID, nil, true)), lhcode.PeerReplaced)
	to.stop()
	assert.NilError(t, <-to.done)
	assert.Equal(t, lhcode.Of(from.Push(ctx, earlier.ID, nil, true)), lhcode.PeerUnreachable)
}

func TestNodeJoinsAnewWhenHeldDead(t *testing.T) {
	nodes := startGroup(t, 3, plain)
	old := nodes[1].self()
	nodes[0].mu.Lock()
	nodes[0].member.bury(0, nodes[0].member.find(old))
	nodes[0].mu.Unlock()
	wait(t, "a new ID", func() bool { return nodes[1].self() != old })
	waitActive(t, nodes, 3)
	assert.Equal(t, nodes[1].Counters().Rejoins, uint64(1))
}

func TestPlannedStopIsSeenAtOnce(t *testing.T) {
	nodes := startGroup(t, 3, plain)
	nodes[2].Leave()
	id := nodes[2].self()
	wait(t, "leaving", func() bool {
		m, ok := nodes[0].View().Member(id)
		return ok && m.State == lhflow.Leaving
	})
	nodes[2].Left(context.Background())
	for _, n := range nodes[:2] {
		wait(t, "gone", func() bool { _, ok := n.View().Member(id); return !ok })
		assert.Equal(t, n.Counters().Suspicions, uint64(0))
	}
}

func TestNodesFormAGroup(t *testing.T) {
	nodes := startGroup(t, 3, plain)
	nodes[2].stop()
	assert.NilError(t, <-nodes[2].done)
	waitActive(t, nodes[:2], 2)
}
