package lhpeer

import (
	"testing"
	"time"

	"gotest.tools/v3/poll"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhkey"
)

// benchPings is the number of requests that each node sends during the measurement.
const benchPings = 30

// BenchmarkIdleControl measures the bytes per second that each of three idle VMs
// sends to its peers with the default heartbeat, and the bytes sent until all three
// are members. Run it with -benchtime 1x.
func BenchmarkIdleControl(b *testing.B) {
	a := newAuthority(b)
	cases := []struct {
		name string
		keys func() *lhkey.Credentials
	}{
		{"cleartext", func() *lhkey.Credentials { return nil }},
		{"keys", func() *lhkey.Credentials { return openCredentials(b, keyFiles(b, a)) }},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			for range b.N {
				nodes := startGroup(b, 3, func(int) Settings {
					return Settings{
						Self:   lhflow.Member{Name: "sapporo-a-1", DataCentre: "sapporo-a"},
						Timing: Timing{Period: time.Second},
						Keys:   c.keys(),
					}
				})
				measureIdle(b, nodes)
			}
		})
	}
}

func measureIdle(b *testing.B, nodes []testNode) {
	var joining, idle uint64
	for _, n := range nodes {
		joining += n.Counters().BytesOut
	}
	started := time.Now()
	for _, n := range nodes {
		awaitPings(b, n, benchPings)
	}
	for _, n := range nodes {
		idle += n.Counters().BytesOut
	}
	perVM := float64(len(nodes))
	b.ReportMetric(float64(joining)/perVM, "join-B/vm")
	b.ReportMetric(float64(idle-joining)/perVM/time.Since(started).Seconds(), "B/s/vm")
	b.ReportMetric(0, "ns/op")
}

// awaitPings waits until a node has sent the given number of further requests.
func awaitPings(t testing.TB, n testNode, more uint64) {
	t.Helper()
	before := n.Counters().Pings
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if now := n.Counters().Pings; now < before+more {
			return poll.Continue("%d pings", now-before)
		}
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
}
