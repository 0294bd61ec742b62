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

// fastTiming shortens tests with real sockets.
var fastTiming = Timing{
	Period:         100 * time.Millisecond,
	Probe:          200 * time.Millisecond,
	Suspect:        500 * time.Millisecond,
	Dead:           time.Second,
	Settle:         200 * time.Millisecond,
	ContactTimeout: 5 * time.Second,
}

// testNode is a running node and the means to stop it.
type testNode struct {
	*Node
	stop context.CancelFunc
	done <-chan error
}

// startNode runs a node on an ephemeral loopback port.
func startNode(t testing.TB, s Settings) testNode {
	t.Helper()
	if !s.Self.Control.IsValid() {
		s.Self.Control = netip.MustParseAddrPort("127.0.0.1:0")
	}
	if s.Timing == (Timing{}) {
		s.Timing = fastTiming
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := NewNode(s)
	r := testNode{Node: n, stop: cancel, done: n.Run(ctx)}
	t.Cleanup(cancel)
	return r
}

// selfEntry returns the node's entry.
func (r testNode) selfEntry() Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.member.Self()
}

func (r testNode) heartbeats() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.member.pings
}

// addMember adds another node to the membership without an exchange.
func (r testNode) addMember(other testNode) {
	e := other.selfEntry()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.member.merge(0, e)
}

// startGroup runs nodes that have the first one as contact, and waits until all are
// active.
func startGroup(t testing.TB, count int, settings func(i int) Settings) []testNode {
	t.Helper()
	nodes := []testNode{startNode(t, settings(0))}
	for i := 1; i < count; i++ {
		s := settings(i)
		s.Contacts = []netip.AddrPort{nodes[0].settings.Self.Control}
		nodes = append(nodes, startNode(t, s))
	}
	waitActive(t, nodes, count)
	return nodes
}

// waitActive waits until each node's view holds count members, all of them active.
func waitActive(t testing.TB, nodes []testNode, count int) {
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

func plainSettings(int) Settings { return Settings{Self: lhflow.Member{DataCentre: "ebetsu"}} }

// recordStore keeps the records handed over to a node.
type recordStore struct {
	mu      sync.Mutex
	records []lhflow.Record
}

func (r *recordStore) Receive(_ lhflow.MemberID, batch []lhflow.Record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.records = append(r.records, batch...)
}

func (r *recordStore) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.records)
}

// numberConfigs implements Configs; the content of a configuration is its revision
// number.
type numberConfigs struct{ revision atomic.Uint64 }

func (h *numberConfigs) Revision() Revision {
	n := h.revision.Load()
	return Revision{Number: n, Digest: n}
}

func (h *numberConfigs) Content(_ context.Context, _, _ uint64) (uint64, []byte, error) {
	n := h.revision.Load()
	return n, []byte(strconv.FormatUint(n, 10)), nil
}

func (h *numberConfigs) Accept(_ context.Context, revision uint64, content []byte) error {
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
	configs := []*numberConfigs{{}, {}, {}, {}}
	startGroup(t, len(configs), func(i int) Settings {
		s := plainSettings(i)
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

func TestHandOverActivatesJoiningNode(t *testing.T) {
	old := startNode(t, Settings{Records: &recordStore{}})
	waitActive(t, []testNode{old}, 1)
	got := &recordStore{}
	next := startNode(t, Settings{
		Records:  got,
		Contacts: []netip.AddrPort{old.settings.Self.Control},
	})
	wait(t, "the joining member", func() bool { return len(old.PendingHandOvers()) == 1 })
	id := old.PendingHandOvers()[0]
	records := someRecords(3 * recordsPerCall / 2)
	ctx := context.Background()
	assert.NilError(t, old.Push(ctx, id, records, false))
	assert.Equal(t, got.count(), len(records))
	assert.Equal(t, next.selfEntry().State, lhflow.Joining)
	assert.NilError(t, old.Push(ctx, id, nil, true))
	waitActive(t, []testNode{old, next}, 2)
}

func TestPushReturnsCodeOfFailure(t *testing.T) {
	from, to := startNode(t, Settings{Timing: idleTiming}), startNode(t, Settings{Timing: idleTiming})
	wait(t, "the only heartbeat", func() bool { return from.heartbeats() == 1 })
	earlier := to.selfEntry()
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

func TestNodeRejoinsAfterBeingDeclaredDead(t *testing.T) {
	nodes := startGroup(t, 3, plainSettings)
	old := nodes[1].self()
	nodes[0].mu.Lock()
	nodes[0].member.declareDead(0, nodes[0].member.find(old))
	nodes[0].mu.Unlock()
	wait(t, "a new ID", func() bool { return nodes[1].self() != old })
	waitActive(t, nodes, 3)
	assert.Equal(t, nodes[1].Counters().Rejoins, uint64(1))
}

func TestPlannedStopCausesNoSuspicion(t *testing.T) {
	nodes := startGroup(t, 3, plainSettings)
	nodes[2].Leave()
	id := nodes[2].self()
	wait(t, "leaving", func() bool {
		m, ok := nodes[0].View().Member(id)
		return ok && m.State == lhflow.Leaving
	})
	nodes[2].FinishLeave(context.Background())
	for _, n := range nodes[:2] {
		wait(t, "gone", func() bool { _, ok := n.View().Member(id); return !ok })
		assert.Equal(t, n.Counters().Suspicions, uint64(0))
	}
}

func TestNodesFormAGroup(t *testing.T) {
	nodes := startGroup(t, 3, plainSettings)
	nodes[2].stop()
	assert.NilError(t, <-nodes[2].done)
	waitActive(t, nodes[:2], 2)
}
