package lhentry

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

const (
	// benchFlows is how many known flows the packets belong to.
	benchFlows = 1000
	// benchWindow is how many packets are on their way at a time.
	benchWindow = 256
	// benchRound is how many packets go one way before the next way's turn.
	benchRound = 20_000
	// benchPatience bounds the wait for a packet that was lost.
	benchPatience = 10 * time.Second
)

var (
	benchAny     = netip.MustParseAddrPort("127.0.0.1:0")
	benchService = netip.MustParseAddrPort("198.51.100.1:443")
)

// BenchmarkForward sends packets of known flows from a fabric's socket to a backend
// server's: directly, through a bare UDP relay and through an entry process, in
// turns. It prints nanoseconds for each packet on the way (ns/pkt) and of processor
// time (cpu-ns/pkt, of sender and receiver too), and what part of the relay's
// packets a second the entry process reaches.
func BenchmarkForward(b *testing.B) {
	for _, size := range []int{64, 1300} {
		for _, workers := range []int{1, 4} {
			b.Run(fmt.Sprintf("bytes=%d/workers=%d", size, workers), func(b *testing.B) {
				newForwardBench(b, size, workers).run(b)
			})
		}
	}
}

// TestKnownFlowDoesNotAllocate covers decoding, deciding and sending.
func TestKnownFlowDoesNotAllocate(t *testing.T) {
	f := newForwardBench(t, 1300, 1)
	worker := newForwarder(f.entry)
	allocs := testing.AllocsPerRun(benchWindow, func() {
		// A packet is changed when it is forwarded, so each run takes a copy.
		n := copy(worker.in, f.packets[0])
		worker.packet(worker.in[:n], local(f.fabric), f.entry.now())
	})
	assert.Equal(t, allocs, 0.0)
	assert.Equal(t, worker.counts[CountToServer].Load(), uint64(benchWindow+1))
}

// forwardBench is the sockets and packets of one benchmark.
type forwardBench struct {
	fabric, server *net.UDPConn
	entry          *Entry
	// packets holds a data segment of each flow.
	packets [][]byte
	ways    []way
}

// way is where packets are sent to reach the server, and what that took.
type way struct {
	name    string
	to      netip.AddrPort
	packets int
	wall    time.Duration
	cpu     time.Duration
}

func newForwardBench(b testing.TB, size, workers int) *forwardBench {
	f := &forwardBench{fabric: listen(b, "127.0.1.1"), server: listen(b, "127.0.2.1")}
	ctx, cancel := context.WithCancel(context.Background())
	relay := &lhstand.Relay{Fabric: local(f.fabric), Server: local(f.server)}
	assert.NilError(b, relay.Open(benchAny))
	ends := []<-chan error{relay.Run(ctx, workers), f.startEntry(ctx, b, workers)}
	b.Cleanup(func() {
		cancel()
		for _, ended := range ends {
			assert.NilError(b, <-ended)
		}
	})
	f.ways = []way{
		{name: "direct", to: local(f.server)},
		{name: "relay", to: relay.Address()},
		{name: "entry", to: f.entry.Data()},
	}
	f.openFlows(b, size)
	return f
}

func listen(b testing.TB, host string) *net.UDPConn {
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.ParseIP(host)})
	assert.NilError(b, err)
	b.Cleanup(func() { _ = socket.Close() })
	_ = socket.SetReadBuffer(socketBuffer)
	return socket
}

func local(socket *net.UDPConn) netip.AddrPort {
	return socket.LocalAddr().(*net.UDPAddr).AddrPort()
}

// startEntry runs an entry process with one service and one backend server.
func (f *forwardBench) startEntry(ctx context.Context, b testing.TB, workers int) <-chan error {
	platform := new(lhstand.Platform)
	assert.NilError(b, platform.Start())
	b.Cleanup(func() { assert.NilError(b, platform.Close()) })
	s := lhconf.DefaultSettings()
	s.Name = "vm1"
	s.Data = benchAny
	s.Control = benchAny
	s.Ops = benchAny
	s.Platform = platform.URL()
	s.Fabric = []netip.Addr{local(f.fabric).Addr()}
	s.FabricTo = local(f.fabric)
	s.Workers = workers
	e, err := New(s, zerolog.Nop())
	assert.NilError(b, err)
	e.SetConfig(lhconf.Config{
		Revision: 1,
		Services: []lhconf.Service{{Name: "cutdesk", Address: benchService, Proto: lhflow.TCP}},
		Servers: []lhconf.BackendServer{{
			Number: 1, Name: "s1", Service: "cutdesk", Address: local(f.server),
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

// openFlows takes each flow through its handshake and prepares its packet.
func (f *forwardBench) openFlows(b testing.TB, size int) {
	for n := range benchFlows {
		caller := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.7"), uint16(10_000+n))
		syn := lhwire.Segment{From: caller, To: benchService, Flags: lhflow.SYN, Seq: 1}
		answer := lhwire.Segment{From: benchService, To: caller, Flags: lhflow.SYN | lhflow.ACK, Seq: 1, Ack: 2}
		ack := lhwire.Segment{From: caller, To: benchService, Flags: lhflow.ACK, Seq: 2, Ack: 2}
		f.exchange(b, f.fabric, f.server, syn)
		f.exchange(b, f.server, f.fabric, answer)
		f.exchange(b, f.fabric, f.server, ack)
		ack.Data = make([]byte, size)
		f.packets = append(f.packets, lhwire.AppendGeneve(nil, ack.Inner(), 0, lhflow.Relay{}))
	}
}

// exchange sends a segment through the entry process and waits for it.
func (f *forwardBench) exchange(b testing.TB, from, to *net.UDPConn, s lhwire.Segment) {
	buf := lhwire.AppendGeneve(nil, s.Inner(), 0, lhflow.Relay{})
	_, err := from.WriteToUDPAddrPort(buf, f.entry.Data())
	assert.NilError(b, err)
	f.take(b, to)
}

func (f *forwardBench) take(b testing.TB, socket *net.UDPConn) {
	var buf [bufferSize]byte
	assert.NilError(b, socket.SetReadDeadline(time.Now().Add(benchPatience)))
	_, _, err := socket.ReadFromUDPAddrPort(buf[:])
	assert.NilError(b, err)
}

func (f *forwardBench) run(b *testing.B) {
	b.ResetTimer()
	for sent := 0; sent < b.N; {
		round := min(benchRound, b.N-sent)
		for i := range f.ways {
			f.round(b, &f.ways[i], round)
		}
		sent += round
	}
	b.StopTimer()
	for _, w := range f.ways {
		b.ReportMetric(w.each(w.wall), w.name+"-ns/pkt")
		b.ReportMetric(w.each(w.cpu), w.name+"-cpu-ns/pkt")
	}
	relay, entry := f.ways[1], f.ways[2]
	b.ReportMetric(relay.each(relay.wall)/entry.each(entry.wall), "of-relay")
	b.ReportMetric(0, "ns/op")
}

func (w way) each(d time.Duration) float64 { return float64(d) / float64(w.packets) }

// round sends packets one way, with a window of them under way, and receives all.
func (f *forwardBench) round(b *testing.B, w *way, packets int) {
	credits := make(chan struct{}, benchWindow)
	received := make(chan error, 1)
	began, cpu := time.Now(), processorTime(b)
	go func() { received <- f.receive(packets, credits) }()
	for n := range packets {
		select {
		case credits <- struct{}{}:
		case err := <-received:
			b.Fatalf("%s: %v", w.name, err)
		}
		if _, err := f.fabric.WriteToUDPAddrPort(f.packets[n%benchFlows], w.to); err != nil {
			b.Fatal(err)
		}
	}
	if err := <-received; err != nil {
		b.Fatalf("%s: %v", w.name, err)
	}
	w.packets += packets
	w.wall += time.Since(began)
	w.cpu += processorTime(b) - cpu
}

// receive takes packets off the server's socket and gives a credit back for each.
// It ends early when a packet was lost.
func (f *forwardBench) receive(packets int, credits <-chan struct{}) error {
	buf := make([]byte, bufferSize)
	if err := f.server.SetReadDeadline(time.Now().Add(benchPatience)); err != nil {
		return err
	}
	for range packets {
		if _, _, err := f.server.ReadFromUDPAddrPort(buf); err != nil {
			return err
		}
		<-credits
	}
	return nil
}

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
