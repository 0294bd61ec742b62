package lhpeer

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer/lhpeerv1"
)

// idleTiming keeps nodes from sending heartbeats during a measurement.
var idleTiming = Timing{Period: time.Hour, Probe: time.Second}

// BenchmarkExchange measures the bytes that both sides write for one exchange, on
// an open connection and on a new one.
func BenchmarkExchange(b *testing.B) {
	for _, fresh := range []bool{false, true} {
		b.Run(fmt.Sprintf("fresh=%t", fresh), func(b *testing.B) {
			caller, callee := startNode(b, Settings{Timing: idleTiming}), startNode(b, Settings{Timing: idleTiming})
			control := callee.settings.Self.Control
			r := Request{Control: control, Message: Message{From: 1, To: callee.self(), Digest: 1 << 60}}
			exchange := func() {
				_, err := caller.send(context.Background(), r, time.Second)
				assert.NilError(b, err)
				if fresh {
					caller.transport.drop(control)
				}
			}
			exchange()
			out, in := caller.budget.out.Load(), caller.budget.in.Load()
			for b.Loop() {
				exchange()
			}
			b.ReportMetric(float64(caller.budget.out.Load()-out)/float64(b.N), "request-B")
			b.ReportMetric(float64(caller.budget.in.Load()-in)/float64(b.N), "answer-B")
		})
	}
}

// BenchmarkMerge measures the bytes that both sides write in one period if
// membership, revision and hand-over status share one exchange, and if each uses
// its own.
func BenchmarkMerge(b *testing.B) {
	caller, callee := startNode(b, Settings{Timing: idleTiming}), startNode(b, Settings{Timing: idleTiming})
	waitActive(b, []testNode{caller}, 1)
	waitActive(b, []testNode{callee}, 1)
	caller.addMember(callee)
	callee.addMember(caller)
	ends := Message{From: caller.self(), To: callee.self()}
	membership, revision, progress := ends, ends, ends
	membership.Digest = 1 << 60
	membership.Entries = []Entry{caller.selfEntry()}
	revision.Revision = Revision{Number: 11_000, Digest: 1 << 60}
	progress.HandedOver = true
	merged := membership
	merged.Revision = revision.Revision
	merged.HandedOver = true
	for _, c := range []struct {
		name     string
		messages []Message
	}{
		{"merged", []Message{merged}},
		{"separate", []Message{membership, revision, progress}},
	} {
		b.Run(c.name, func(b *testing.B) {
			before := written([]testNode{caller, callee})
			for b.Loop() {
				for _, m := range c.messages {
					r := Request{Control: callee.settings.Self.Control, Message: m}
					_, err := caller.send(context.Background(), r, time.Second)
					assert.NilError(b, err)
				}
			}
			b.ReportMetric(float64(written([]testNode{caller, callee})-before)/float64(b.N), "B/period")
		})
	}
}

// BenchmarkNodes measures the time until nodes that start simultaneously are
// active; then, after each has exchanged messages with each other, their traffic
// and CPU time over 10 seconds without changes; and then the time until a new
// revision is in force on all of them.
func BenchmarkNodes(b *testing.B) {
	const span = 10 * time.Second
	for _, size := range []int{3, 7, 25} {
		b.Run(fmt.Sprintf("n=%d", size), func(b *testing.B) {
			for b.Loop() {
				began := time.Now()
				configs := make([]*numberConfigs, size)
				nodes := startGroup(b, size, func(i int) Settings {
					s := plainSettings(i)
					configs[i] = &numberConfigs{}
					s.Configs = configs[i]
					s.Timing = Timing{Settle: 200 * time.Millisecond}
					return s
				})
				b.ReportMetric(time.Since(began).Seconds(), "start-s")
				<-time.After(time.Duration(size+5) * time.Second)
				out, spent := written(nodes), processorTime(b)
				<-time.After(span)
				members := float64(size) * span.Seconds()
				b.ReportMetric(float64(written(nodes)-out)/members, "B/s/member")
				b.ReportMetric(float64((processorTime(b)-spent).Microseconds())/members, "cpu-µs/s/member")
				started := time.Now()
				configs[0].revision.Store(1)
				for _, c := range configs {
					wait(b, "the revision", func() bool { return c.revision.Load() == 1 })
				}
				b.ReportMetric(float64(time.Since(started).Milliseconds()), "revision-ms")
				for _, n := range nodes {
					n.stop()
					assert.NilError(b, <-n.done)
				}
			}
		})
	}
}

func written(nodes []testNode) (sum uint64) {
	for _, n := range nodes {
		sum += n.Counters().BytesOut
	}
	return sum
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRecords measures the encoded bytes per record in a hand-over, grouped
// and with one message per record, and the bytes of a complete call.
func BenchmarkRecords(b *testing.B) {
	for _, size := range []int{recordsPerCall / 4, recordsPerCall} {
		records := someRecords(size)
		b.Run(fmt.Sprintf("grouped/%d", size), func(b *testing.B) {
			var bytes int
			for b.Loop() {
				bytes = proto.Size(&lhpeerv1.HandOverRequest{From: 1, To: 2, Groups: encodeRecords(records)})
			}
			b.ReportMetric(float64(bytes)/float64(size), "B/record")
		})
	}
	b.Run("plain", func(b *testing.B) {
		var bytes int
		for b.Loop() {
			bytes = 0
			for _, r := range someRecords(recordsPerCall) {
				bytes += proto.Size(&lhpeerv1.HandOverRequest{From: 1, To: 2, Groups: encodeRecords([]lhflow.Record{r})})
			}
		}
		b.ReportMetric(float64(bytes)/recordsPerCall, "B/record")
	})
	b.Run("pushed", func(b *testing.B) {
		from := startNode(b, Settings{Timing: idleTiming, Budget: 1 << 30})
		to := startNode(b, Settings{Timing: idleTiming, Budget: 1 << 30, Records: &recordStore{}})
		from.addMember(to)
		records := someRecords(recordsPerCall)
		push := func() { assert.NilError(b, from.Push(context.Background(), to.self(), records, false)) }
		push()
		out := from.budget.out.Load()
		for b.Loop() {
			push()
		}
		b.ReportMetric(float64(from.budget.out.Load()-out)/float64(b.N)/recordsPerCall, "B/record")
	})
}

// someRecords returns open flows of 18 backend servers, 14 of one service with two
// kinds of work and 4 of another service.
func someRecords(count int) []lhflow.Record {
	rng := rand.New(rand.NewPCG(1, 1))
	records := make([]lhflow.Record, 0, count)
	for range count {
		server := uint32(1 + rng.IntN(18))
		work := uint16(3)
		if server <= 14 {
			work = uint16(1 + rng.IntN(2))
		}
		records = append(records, lhflow.Record{
			ID:     lhflow.ID{Hi: rng.Uint64(), Lo: rng.Uint64()},
			Server: server,
			ISN:    rng.Uint32(),
			State:  lhflow.Open,
			Work:   work,
		})
	}
	return records
}
