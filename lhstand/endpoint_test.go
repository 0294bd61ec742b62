package lhstand

import (
	"flag"
	"net/netip"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

var (
	caller  = netip.MustParseAddrPort("192.0.2.7:40000")
	service = netip.MustParseAddrPort("198.51.100.1:443")
)

// endpointPair is two endpoints with a simulated clock and network.
type endpointPair struct {
	now  time.Time
	ends [2]endpoint
	// inTransit holds the packets in flight to each end.
	inTransit [2][][]byte
}

func newEndpointPair(isn uint32) *endpointPair {
	p := &endpointPair{now: time.Unix(0, 0)}
	p.ends[0] = newEndpoint(caller, service, isn)
	p.ends[0].connect(p.now)
	p.collectOutgoing()
	return p
}

// collectOutgoing moves the endpoints' outgoing packets to the network.
func (p *endpointPair) collectOutgoing() {
	for i := range p.ends {
		p.inTransit[1-i] = append(p.inTransit[1-i], p.ends[i].outgoing...)
		p.ends[i].outgoing = nil
	}
}

// deliver passes the packet with the given index to an end.
func (p *endpointPair) deliver(to, index int) {
	packet, fault := new(lhwire.Decoder).DecodeInner(p.inTransit[to][index])
	if fault != lhwire.FaultNone {
		panic(fault)
	}
	if to == 1 && p.ends[1].local == (netip.AddrPort{}) {
		p.ends[1] = newEndpoint(service, caller, packet.Ack()+7)
		p.ends[1].acceptSYN(p.now, packet)
	} else {
		p.ends[to].receive(p.now, packet)
	}
	p.collectOutgoing()
}

// runUntilIdle delivers all packets in order and advances the clock until both ends
// are idle.
func (p *endpointPair) runUntilIdle() {
	for range 1000 {
		for to := range p.ends {
			for len(p.inTransit[to]) > 0 {
				p.deliver(to, 0)
				p.inTransit[to] = p.inTransit[to][1:]
			}
		}
		p.tick(initialRTO)
	}
}

func (p *endpointPair) tick(d time.Duration) {
	p.now = p.now.Add(d)
	for i := range p.ends {
		p.ends[i].tick(p.now)
	}
	p.collectOutgoing()
}

// TestEndpoint checks that all bytes arrive in order and both ends close after a
// network has lost, duplicated and reordered packets arbitrarily.
func TestEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newEndpointPair(rapid.Uint32().Draw(t, "isn"))
		var want, got [2]string
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			p.step(t, &want, &got)
		}
		p.runUntilIdle()
		for i := range p.ends {
			p.ends[i].close(p.now)
		}
		p.collectOutgoing()
		p.runUntilIdle()
		for i := range p.ends {
			readAll(&p.ends[i], &got[i])
			assert.Equal(t, got[i], want[1-i])
			assert.Equal(t, p.ends[i].outcome, Completed)
			assert.Equal(t, p.ends[i].state, closed)
		}
	})
}

func (p *endpointPair) step(t *rapid.T, want, got *[2]string) {
	to := rapid.IntRange(0, 1).Draw(t, "end")
	switch rapid.SampledFrom([]string{"deliver", "repeat", "lose", "write", "read", "tick"}).Draw(t, "step") {
	case "deliver":
		if index, ok := p.drawPacket(t, to); ok {
			p.deliver(to, index)
			p.inTransit[to] = append(p.inTransit[to][:index:index], p.inTransit[to][index+1:]...)
		}
	case "repeat":
		if index, ok := p.drawPacket(t, to); ok {
			p.deliver(to, index)
		}
	case "lose":
		if index, ok := p.drawPacket(t, to); ok {
			p.inTransit[to] = append(p.inTransit[to][:index:index], p.inTransit[to][index+1:]...)
		}
	case "write":
		if !p.ends[to].local.IsValid() {
			return
		}
		data := strings.Repeat(rapid.StringN(1, 3, 9).Draw(t, "data"), rapid.IntRange(1, 3000).Draw(t, "count"))
		p.ends[to].write(p.now, []byte(data))
		want[to] += data
	case "read":
		readAll(&p.ends[to], &got[to])
	case "tick":
		p.tick(timerInterval)
	}
	p.collectOutgoing()
}

func (p *endpointPair) drawPacket(t *rapid.T, to int) (int, bool) {
	if len(p.inTransit[to]) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(p.inTransit[to])-1).Draw(t, "packet"), true
}

func readAll(e *endpoint, into *string) {
	b := make([]byte, len(e.receiveBuffer))
	*into += string(b[:e.read(b)])
}

func TestEndpointTimesOut(t *testing.T) {
	p := newEndpointPair(1)
	for range maxAttempts - 1 {
		assert.Equal(t, p.ends[0].outcome, Pending)
		p.tick(maxRTO)
	}
	p.tick(maxRTO)
	assert.Equal(t, p.ends[0].outcome, TimedOut)
}

func TestEndpointReset(t *testing.T) {
	cases := []struct {
		name string
		// established is set if the connection is established before the RST arrives.
		established bool
		reset       func(e *endpoint) lhwire.Segment
		want        Outcome
	}{
		{"refused", false, func(e *endpoint) lhwire.Segment {
			return lhwire.Segment{Flags: lhflow.RST | lhflow.ACK, Ack: e.sndMax}
		}, Refused},
		{"blind reset of a SYN", false, func(e *endpoint) lhwire.Segment {
			return lhwire.Segment{Flags: lhflow.RST | lhflow.ACK, Ack: e.sndMax + 1}
		}, Pending},
		{"reset", true, func(e *endpoint) lhwire.Segment {
			return lhwire.Segment{Flags: lhflow.RST, Seq: e.rcvNext}
		}, Reset},
		{"reset outside the window", true, func(e *endpoint) lhwire.Segment {
			return lhwire.Segment{Flags: lhflow.RST, Seq: e.rcvNext - 1}
		}, Pending},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newEndpointPair(1)
			if c.established {
				p.runUntilIdle()
			}
			s := c.reset(&p.ends[0])
			s.From, s.To = service, caller
			p.inTransit[0] = [][]byte{s.Inner()}
			p.deliver(0, 0)
			assert.Equal(t, p.ends[0].outcome, c.want)
		})
	}
}
