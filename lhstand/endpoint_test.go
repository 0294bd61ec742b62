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

// pair is two endpoints with a virtual clock and network between them.
type pair struct {
	now  time.Time
	ends [2]endpoint
	// way holds the packets on their way to each end.
	way [2][][]byte
}

func newPair(isn uint32) *pair {
	p := &pair{now: time.Unix(0, 0)}
	p.ends[0] = newEndpoint(caller, service, isn)
	p.ends[0].connect(p.now)
	p.gather()
	return p
}

// gather moves what the endpoints send to the network.
func (p *pair) gather() {
	for i := range p.ends {
		p.way[1-i] = append(p.way[1-i], p.ends[i].out...)
		p.ends[i].out = nil
	}
}

// deliver hands the packet with the given index to an end.
func (p *pair) deliver(to, index int) {
	packet, fault := new(lhwire.Decoder).DecodeInner(p.way[to][index])
	if fault != lhwire.FaultNone {
		panic(fault)
	}
	if to == 1 && p.ends[1].local == (netip.AddrPort{}) {
		p.ends[1] = newEndpoint(service, caller, packet.Ack()+7)
		p.ends[1].accept(p.now, packet)
	} else {
		p.ends[to].receive(p.now, packet)
	}
	p.gather()
}

// settle delivers everything in order and passes time until both ends are quiet.
func (p *pair) settle() {
	for range 1000 {
		for to := range p.ends {
			for len(p.way[to]) > 0 {
				p.deliver(to, 0)
				p.way[to] = p.way[to][1:]
			}
		}
		p.tick(firstTimeout)
	}
}

func (p *pair) tick(d time.Duration) {
	p.now = p.now.Add(d)
	for i := range p.ends {
		p.ends[i].tick(p.now)
	}
	p.gather()
}

// TestEndpoint lets a network lose, repeat and reorder packets at will and then
// work: all bytes arrive in order and both ends close.
func TestEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPair(rapid.Uint32().Draw(t, "isn"))
		var want, got [2]string
		for range rapid.IntRange(0, 60).Draw(t, "steps") {
			p.step(t, &want, &got)
		}
		p.settle()
		for i := range p.ends {
			p.ends[i].close(p.now)
		}
		p.gather()
		p.settle()
		for i := range p.ends {
			drain(&p.ends[i], &got[i])
			assert.Equal(t, got[i], want[1-i])
			assert.Equal(t, p.ends[i].outcome, Whole)
			assert.Equal(t, p.ends[i].state, ended)
		}
	})
}

func (p *pair) step(t *rapid.T, want, got *[2]string) {
	to := rapid.IntRange(0, 1).Draw(t, "end")
	switch rapid.SampledFrom([]string{"deliver", "repeat", "lose", "write", "read", "tick"}).Draw(t, "step") {
	case "deliver":
		if index, ok := p.draw(t, to); ok {
			p.deliver(to, index)
			p.way[to] = append(p.way[to][:index:index], p.way[to][index+1:]...)
		}
	case "repeat":
		if index, ok := p.draw(t, to); ok {
			p.deliver(to, index)
		}
	case "lose":
		if index, ok := p.draw(t, to); ok {
			p.way[to] = append(p.way[to][:index:index], p.way[to][index+1:]...)
		}
	case "write":
		if !p.ends[to].local.IsValid() {
			return
		}
		data := strings.Repeat(rapid.StringN(1, 3, 9).Draw(t, "data"), rapid.IntRange(1, 3000).Draw(t, "count"))
		p.ends[to].write(p.now, []byte(data))
		want[to] += data
	case "read":
		drain(&p.ends[to], &got[to])
	case "tick":
		p.tick(sweepPeriod)
	}
	p.gather()
}

func (p *pair) draw(t *rapid.T, to int) (int, bool) {
	if len(p.way[to]) == 0 {
		return 0, false
	}
	return rapid.IntRange(0, len(p.way[to])-1).Draw(t, "packet"), true
}

func drain(e *endpoint, into *string) {
	b := make([]byte, len(e.received))
	*into += string(b[:e.read(b)])
}

func TestEndpointTimesOut(t *testing.T) {
	p := newPair(1)
	for range maxAttempts - 1 {
		assert.Equal(t, p.ends[0].outcome, Pending)
		p.tick(maxTimeout)
	}
	p.tick(maxTimeout)
	assert.Equal(t, p.ends[0].outcome, TimedOut)
}

func TestEndpointReset(t *testing.T) {
	cases := []struct {
		name string
		// settled is set when the connection is open before the RST comes.
		settled bool
		reset   func(e *endpoint) lhwire.Segment
		want    Outcome
	}{
		{"refused", false, func(e *endpoint) lhwire.Segment {
			return lhwire.Segment{Flags: lhflow.RST | lhflow.ACK, Ack: e.max}
		}, Refused},
		{"blind reset of a SYN", false, func(e *endpoint) lhwire.Segment {
			return lhwire.Segment{Flags: lhflow.RST | lhflow.ACK, Ack: e.max + 1}
		}, Pending},
		{"reset", true, func(e *endpoint) lhwire.Segment {
			return lhwire.Segment{Flags: lhflow.RST, Seq: e.recvNext}
		}, Reset},
		{"reset outside the window", true, func(e *endpoint) lhwire.Segment {
			return lhwire.Segment{Flags: lhflow.RST, Seq: e.recvNext - 1}
		}, Pending},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := newPair(1)
			if c.settled {
				p.settle()
			}
			s := c.reset(&p.ends[0])
			s.From, s.To = service, caller
			p.way[0] = [][]byte{s.Inner()}
			p.deliver(0, 0)
			assert.Equal(t, p.ends[0].outcome, c.want)
		})
	}
}
