package lhpeer

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

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
func startNode(t *testing.T, s Settings) running {
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

// startGroup runs nodes that know the first one, and waits until all are active.
func startGroup(t *testing.T, count int, settings func(i int) Settings) []running {
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
func waitActive(t *testing.T, nodes []running, count int) {
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

func TestNodesFormAGroup(t *testing.T) {
	nodes := startGroup(t, 3, plain)
	nodes[2].stop()
	assert.NilError(t, <-nodes[2].done)
	waitActive(t, nodes[:2], 2)
}
