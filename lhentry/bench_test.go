package lhentry

import (
	"context"
	"fmt"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhsock"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

const (
	// benchFlows is the number of known flows that the packets belong to.
	benchFlows = 1000
	// benchRoundPackets is the number of packets per round on each path.
	benchRoundPackets = 20_000
	// allocRuns is the number of packets checked for allocations.
	allocRuns = 200
	// benchTimeout limits the wait for a packet that was lost.
	benchTimeout = 10 * time.Second
)

var (
	benchAnyPort = netip.MustParseAddrPort("127.0.0.1:0")
	benchService = netip.MustParseAddrPort("198.51.100.1:443")
)

// BenchmarkForward sends packets of known flows from the fabric's sockets to the socket
// of a backend server: directly, through a plain UDP relay and through an entry process,
// in alternating rounds. There are as many senders and receivers as workers. For each
// path it reports elapsed time per packet (ns/pkt) and processor time per packet
// (cpu-ns/pkt, including senders and receivers), and the throughput of the entry process
// as a fraction of the relay's.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{64, 1300} {
		for _, workers := range []int{1, 3} {
			b.Run(fmt.Sprintf("bytes=%d/workers=%d", size, workers), func(b *testing.B) {
				newForwardBench(b, size, workers).run(b)
			})
		}
	}
}

// TestKnownFlowDoesNotAllocate covers decoding, deciding and sending.
func TestKnownFlowDoesNotAllocate(t *testing.T) {
	f := newForwardBench(t, 1300, 1)
	worker := newForwarder(f.entry, f.entry.socket.Handles()[0])
	buf := make([]byte, lhsock.MaxDatagram)
	allocs := testing.AllocsPerRun(allocRuns, func() {
		// Forwarding modifies the packet, so each run uses a copy.
		n := copy(buf, f.meter.Packets[0])
		worker.handlePacket(buf[:n], f.meter.Senders[0].Address(), f.entry.now())
	})
	assert.Equal(t, allocs, 0.0)
	assert.Equal(t, worker.counts[CountToServer].Load(), uint64(allocRuns+1))
}

// forwardBench holds the sockets and packets of one benchmark.
type forwardBench struct {
	// meter sends a data segment of each flow; its first sender also receives responses.
	meter lhstand.ThroughputMeter
	entry *Entry
	paths []forwardPath
}

// forwardPath is a path from the senders to the server, with its measurements.
type forwardPath struct {
	name    string
	to      netip.AddrPort
	packets int
	elapsed time.Duration
	cpu     time.Duration
}

func newForwardBench(b testing.TB, size, workers int) *forwardBench {
	f := &forwardBench{meter: lhstand.ThroughputMeter{
		Server: openSocket(b, "127.0.2.1:0", workers), Timeout: benchTimeout,
	}}
	for range workers {
		f.meter.Senders = append(f.meter.Senders, openSocket(b, "127.0.1.1:0", 1))
	}
	ctx, cancel := context.WithCancel(context.Background())
	relay := &lhstand.Relay{Fabric: f.meter.Senders[0].Address(), Server: f.meter.Server.Address()}
	assert.NilError(b, relay.Open(benchAnyPort, workers))
	results := []<-chan error{relay.Run(ctx), f.startEntry(ctx, b, workers)}
	b.Cleanup(func() {
		cancel()
		for _, result := range results {
			assert.NilError(b, <-result)
		}
	})
	f.paths = []forwardPath{
		{name: "direct", to: f.meter.Server.Address()},
		{name: "relay", to: relay.Address()},
		{name: "entry", to: f.entry.Data()},
	}
	f.openFlows(b, size)
	return f
}

func openSocket(b testing.TB, address string, handles int) *lhsock.Socket {
	s, err := lhsock.Open(netip.MustParseAddrPort(address), handles)
	assert.NilError(b, err)
	b.Cleanup(func() { assert.NilError(b, s.Close()) })
	return s
}

// startEntry runs an entry process with one service and one backend server.
func (f *forwardBench) startEntry(ctx context.Context, b testing.TB, workers int) <-chan error {
	platform := new(lhstand.Platform)
	assert.NilError(b, platform.Start())
	b.Cleanup(func() { assert.NilError(b, platform.Close()) })
	s := lhconf.DefaultSettings()
	s.Name = "vm1"
	s.Data = benchAnyPort
	s.Control = benchAnyPort
	s.Ops = benchAnyPort
	s.Platform = platform.URL()
	s.Fabric = []netip.Addr{f.meter.Senders[0].Address().Addr()}
	s.FabricTo = f.meter.Senders[0].Address()
	s.Workers = workers
	e, err := New(s, zerolog.Nop())
	assert.NilError(b, err)
	e.SetConfig(lhconf.Config{
		Revision: 1,
		Services: []lhconf.Service{{Name: "cutdesk", Address: benchService, Proto: lhflow.TCP}},
		Servers: []lhconf.BackendServer{{
			Number: 1, Name: "s1", Service: "cutdesk", Address: f.meter.Server.Address(),
			Weight: 1, Slots: 2 * benchFlows, Flows: 2 * benchFlows,
		}},
	})
	f.entry = e
	done := e.Run(ctx, ctx)
	poll.WaitOn(b, func(poll.LogT) poll.Result {
		view := e.engine.View()
		if self, _ := view.Member(view.Self); view.Self != 0 && self.State == lhflow.Active {
			return poll.Success()
		}
		return poll.Continue("the entry process has not joined")
	})
	return done
}

// openFlows performs the handshake of each flow and prepares its data packet.
func (f *forwardBench) openFlows(b testing.TB, size int) {
	for n := range benchFlows {
		caller := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.7"), uint16(10_000+n))
		syn := lhwire.Segment{From: caller, To: benchService, Flags: lhflow.SYN, Seq: 1}
		answer := lhwire.Segment{From: benchService, To: caller, Flags: lhflow.SYN | lhflow.ACK, Seq: 1, Ack: 2}
		ack := lhwire.Segment{From: caller, To: benchService, Flags: lhflow.ACK, Seq: 2, Ack: 2}
		f.exchange(b, f.meter.Senders[0], f.meter.Server, syn)
		f.exchange(b, f.meter.Server, f.meter.Senders[0], answer)
		f.exchange(b, f.meter.Senders[0], f.meter.Server, ack)
		ack.Data = make([]byte, size)
		f.meter.Packets = append(f.meter.Packets, lhwire.AppendGeneve(nil, ack.Inner(), 0, lhflow.Relay{}))
	}
}

// exchange sends a segment through the entry process and waits for its arrival.
func (f *forwardBench) exchange(b testing.TB, from, to *lhsock.Socket, s lhwire.Segment) {
	buf := lhwire.AppendGeneve(nil, s.Inner(), 0, lhflow.Relay{})
	_, err := from.Handles()[0].WriteToUDPAddrPort(buf, f.entry.Data())
	assert.NilError(b, err)
	receiver := to.Handles()[0]
	assert.NilError(b, receiver.SetReadDeadline(time.Now().Add(benchTimeout)))
	_, _, err = receiver.ReadFromUDPAddrPort(make([]byte, lhsock.MaxDatagram))
	assert.NilError(b, err)
	assert.NilError(b, receiver.SetReadDeadline(time.Time{}))
}

func (f *forwardBench) run(b *testing.B) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := f.meter.Run(ctx)
	b.ResetTimer()
	for sent := 0; sent < b.N; {
		round := min(benchRoundPackets, b.N-sent)
		for i := range f.paths {
			f.measureRound(b, &f.paths[i], round)
		}
		sent += round
	}
	b.StopTimer()
	cancel()
	for _, h := range f.meter.Server.Handles() {
		assert.NilError(b, h.SetReadDeadline(time.Now()))
		assert.NilError(b, <-ended)
	}
	for _, p := range f.paths {
		b.ReportMetric(p.perPacket(p.elapsed), p.name+"-ns/pkt")
		b.ReportMetric(p.perPacket(p.cpu), p.name+"-cpu-ns/pkt")
	}
	relay, entry := f.paths[1], f.paths[2]
	b.ReportMetric(relay.perPacket(relay.elapsed)/entry.perPacket(entry.elapsed), "of-relay")
	b.ReportMetric(0, "ns/op")
}

func (p forwardPath) perPacket(d time.Duration) float64 { return float64(d) / float64(p.packets) }

// measureRound sends packets on one path and adds up elapsed and processor time.
func (f *forwardBench) measureRound(b *testing.B, p *forwardPath, packets int) {
	cpu := processorTime(b)
	elapsed, err := f.meter.MeasureRound(context.Background(), p.to, packets)
	assert.NilError(b, err, p.name)
	p.packets += packets
	p.elapsed += elapsed
	p.cpu += processorTime(b) - cpu
}

// processorTime returns the processor time used by this process.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
