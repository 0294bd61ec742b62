package lhmark

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// TestMarkSelectsServer checks that another VM without a record of a flow sends its
// packets to the same server.
func TestMarkSelectsServer(t *testing.T) {
	servers := []Server{server(1, "a"), server(2, "a"), server(3, "b")}
	v, w := newVM(t, servers...), newVM(t, servers...)
	for port := uint16(1); port <= 100; port++ {
		mark := v.open(port)
		d := w.request(port, mark, 0)
		assert.Equal(t, d.Action, lhflow.ToServer)
		assert.Equal(t, d.Server, mark)
		assert.Assert(t, !d.Known)
	}
}

// TestOpenFlowKeepsServer checks under random changes of servers and configuration
// that packets of an open flow go to its server while that server is running.
func TestOpenFlowKeepsServer(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		v := newVM(t, server(1, "a"), server(2, "a"))
		mark := v.open(1)
		revision := uint64(1)
		for range rapid.IntRange(1, 30).Draw(r, "changes") {
			v.now += time.Duration(rapid.IntRange(0, 1500).Draw(r, "ms")) * time.Millisecond
			n := uint32(rapid.IntRange(1, 9).Draw(r, "server"))
			switch rapid.IntRange(0, 3).Draw(r, "change") {
			case 0:
				v.directory.Set(server(n, "a"))
			case 1:
				if n != mark {
					v.directory.Remove(v.now, server(n, "a").Name)
				}
			case 2:
				s := server(n, "a")
				s.State = lhconf.Draining
				v.directory.Set(s)
			case 3:
				revision += uint64(rapid.IntRange(1, 5).Draw(r, "step"))
				v.directory.SetConfig(Config{Revision: revision, Routes: v.Table().cfg.Routes})
			}
			v.refresh()
			d := v.request(1, mark, 0)
			if d.Action != lhflow.ToServer || d.Server != mark {
				r.Fatalf("packet of a flow at server %d: action %v, server %d", mark, d.Action, d.Server)
			}
		}
	})
}

// TestUnansweredSYN checks that a retransmitted SYN goes to another server, and
// that the flow stays with the server that answered.
func TestUnansweredSYN(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "a"), server(3, "a"))
	first := v.handle(packet(1, lhflow.SYN))
	v.now += 200 * time.Millisecond
	retransmitted := packet(1, lhflow.SYN)
	retransmitted.Ack = 1
	second := v.handle(retransmitted)
	assert.Assert(t, second.Server != first.Server)
	assert.Equal(t, second.Attempt, 2)
	ack := packet(1, lhflow.ACK)
	ack.Seq, ack.Ack, ack.Mark = 1001, 1, first.Server
	assert.Equal(t, v.handle(ack).Server, first.Server, "the first server has answered late")
	assert.Equal(t, v.Server(v.now, second.Server).OpenFlows, 0)
	assert.Equal(t, v.Server(v.now, first.Server).OpenFlows, 1)
	// A late answer of the second server changes the mark, but not the flow's server.
	ack.Mark = second.Server
	assert.Equal(t, v.handle(ack).Server, first.Server)
}

// TestDuplicateSYN checks that a SYN duplicated by the network, or a copy delayed
// while this VM was stalled, does not count as unanswered by its server.
func TestDuplicateSYN(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "a"))
	first := v.handle(packet(1, lhflow.SYN))
	assert.Equal(t, v.handle(packet(1, lhflow.SYN)).Server, first.Server)
	retransmitted := packet(1, lhflow.SYN)
	retransmitted.Ack = 1
	v.now += 10 * time.Millisecond
	assert.Equal(t, v.handle(retransmitted).Server, first.Server)
	assert.Equal(t, v.Server(v.now, first.Server).Unanswered, uint64(0))
}

// TestNoRoute checks that a SYN is refused only while the VM's state is current.
func TestNoRoute(t *testing.T) {
	v := newVM(t, server(1, "a"))
	other := packet(1, lhflow.SYN)
	other.Key.ServicePort++
	d := v.handle(other)
	assert.Equal(t, d.Action, lhflow.Refuse)
	assert.Equal(t, d.Reason, lhflow.ReasonNoService)
	v.now += outageThreshold + time.Second
	v.update()
	assert.Equal(t, v.handle(other).Action, lhflow.Drop, "a newer configuration may have the route")
	assert.Equal(t, v.open(2), uint32(1), "known routes still work")
}

func TestNoServer(t *testing.T) {
	draining := server(1, "a")
	draining.State = lhconf.Draining
	v := newVM(t, draining)
	d := v.handle(packet(1, lhflow.SYN))
	assert.Equal(t, d.Action, lhflow.Refuse)
	assert.Equal(t, d.Reason, lhflow.ReasonNoServer)
}

func TestNoConfiguration(t *testing.T) {
	e := NewEngine("a", Limits{})
	ev := packet(1, lhflow.SYN)
	assert.Equal(t, e.Handle(&ev).Reason, lhflow.ReasonNoConfig)
}

// TestServerEnded checks that a flow is reset once its server has ended, and that a
// packet with an unknown mark is dropped without a reset: a VM with older state may
// receive packets for a server that it does not know yet.
func TestServerEnded(t *testing.T) {
	v := newVM(t, server(1, "a"))
	assert.Equal(t, v.open(1), uint32(1))
	v.directory.Remove(v.now, server(1, "a").Name)
	v.refresh()
	d := v.request(1, 1, 0)
	assert.Equal(t, d.Action, lhflow.Reset)
	assert.Equal(t, d.Reason, lhflow.ReasonServerGone)
	assert.Equal(t, v.Len(), 0)
	d = v.request(2, 77, 0)
	assert.Equal(t, d.Action, lhflow.Drop)
	assert.Equal(t, d.Reason, lhflow.ReasonServerGone)
}

// TestPortReuse checks that a new SYN from a port begins a new flow.
func TestPortReuse(t *testing.T) {
	v := newVM(t, server(1, "a"))
	v.open(1)
	next := packet(1, lhflow.SYN)
	next.Seq = 9000
	assert.Equal(t, v.handle(next).Attempt, 1)
	assert.Equal(t, v.Len(), 1)
	assert.Equal(t, v.Server(v.now, 1).OpenFlows, 1)
}

// TestStatsReturnToZero checks that the numbers of flows and of requests in
// progress return to zero however a flow ends.
func TestStatsReturnToZero(t *testing.T) {
	cases := []struct {
		name string
		end  func(v *vm)
	}{
		{"fin", func(v *vm) {
			fin := packet(1, lhflow.ACK|lhflow.FIN)
			fin.Seq, fin.Ack, fin.Mark = 1101, 500, 1
			v.handle(fin)
			v.now += closingTimeout + time.Second
		}},
		{"reset by the caller", func(v *vm) { v.handle(packet(1, lhflow.RST)) }},
		{"idle timeout", func(v *vm) { v.now += defaultIdleTimeout + time.Second }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := newVM(t, server(1, "a"))
			v.open(1)
			assert.Equal(t, v.Server(v.now, 1).InFlight, 0)
			v.request(1, 1, 0)
			assert.Equal(t, v.Server(v.now, 1).InFlight, 1)
			c.end(v)
			v.Expire(v.now)
			got := v.Server(v.now, 1)
			assert.Equal(t, got.OpenFlows, 0)
			assert.Equal(t, got.InFlight, 0)
			assert.Equal(t, v.Len(), 0)
		})
	}
}

func TestAnswerLatency(t *testing.T) {
	v := newVM(t, server(1, "a"))
	v.open(1)
	d := v.request(1, 1, 30*time.Millisecond)
	assert.Assert(t, d.Served)
	assert.Equal(t, d.Latency, 30*time.Millisecond)
}

// TestRecordLimit checks that flows beyond the limit of records are still forwarded.
func TestRecordLimit(t *testing.T) {
	v := newVM(t, server(1, "a"), server(2, "a"))
	v.limits.Flows = 10
	for port := uint16(1); port <= 50; port++ {
		d := v.handle(packet(port, lhflow.SYN))
		assert.Equal(t, d.Action, lhflow.ToServer)
		assert.Equal(t, v.request(port, d.Server, 0).Server, d.Server)
	}
	assert.Equal(t, v.Len(), 10)
	v.now += defaultIdleTimeout + time.Second
	v.Expire(v.now)
	for n := uint32(1); n <= 2; n++ {
		assert.Equal(t, v.Server(v.now, n).InFlight, 0, "flows without a record are not measured")
	}
}

// TestDuplicateServerNumber checks that of two servers with the same number the
// older one keeps its flows, at VMs that know one or both.
func TestDuplicateServerNumber(t *testing.T) {
	older, younger := server(1, "a"), server(1, "a")
	older.StartedAt, older.Name = 5, "i-b"
	younger.StartedAt, younger.Name = 9, "i-a"
	v := newVM(t, younger, older)
	assert.Equal(t, v.open(1), uint32(1))
	s, ok := v.Table().Server(1)
	assert.Assert(t, ok)
	assert.Equal(t, s.Name, "i-b")
	assert.Equal(t, v.Table().ServingCount(), 1, "the newer server gets no flows")
}

// TestServerRestart checks that statistics of a server are discarded when it starts
// again under the same name.
func TestServerRestart(t *testing.T) {
	v := newVM(t, server(1, "a"))
	v.open(1)
	v.statsByNumber(1).recordUnanswered(v.now)
	restarted := server(1, "a")
	restarted.StartedAt, restarted.Warmup = 7, 2*time.Second
	v.directory.Set(restarted)
	v.refresh()
	got := v.Server(v.now, 1)
	assert.Assert(t, !got.Suspect)
	assert.Equal(t, got.OpenFlows, 0)
	assert.Equal(t, v.statsByNumber(1).warmAt, v.now+2*time.Second)
	v.directory.Set(server(2, "a"))
	v.refresh()
	assert.Equal(t, v.statsByNumber(1).warmAt, v.now+2*time.Second, "unchanged while the server runs")
}

func BenchmarkHandle(b *testing.B) {
	v := &vm{Engine: NewEngine("a", Limits{}), now: time.Minute}
	v.directory.SetConfig(Config{Revision: 1, Routes: []Route{{Address: service, TrafficSplit: []ServiceWeight{{Service: "x"}}}}})
	for n := uint32(1); n <= 40; n++ {
		v.directory.Set(server(n, "a"))
	}
	v.refresh()
	v.open(1)
	ev := packet(1, lhflow.ACK)
	ev.Seq, ev.Ack, ev.Mark, ev.Now = 1001, 500, 1, v.now
	syn := packet(2, lhflow.SYN)
	b.Run("known", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			v.Handle(&ev)
		}
	})
	b.Run("new", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			syn.Seq++
			v.Handle(&syn)
		}
	})
}
