package main

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	firstRetransmit = 200 * time.Millisecond
	maxRetransmit   = 1600 * time.Millisecond
	// maxRetransmits is after how many retransmissions an endpoint gives up.
	maxRetransmits = 8
	heartbeat      = 1200 * time.Millisecond
	// slots and queueLength are the requests that an endpoint runs at once, and those that wait.
	slots, queueLength = 2, 8
)

// flowKey identifies a flow by the addresses of its ends.
type flowKey struct{ requester, service netip.AddrPort }

// heldFlow is a flow that an endpoint holds.
type heldFlow struct {
	isn, ownISN uint32
	open        bool
	finished    bool
	// sentAt and arrivedAt are the times of the SYN that the endpoint took.
	sentAt, arrivedAt time.Time
	expected, next    uint32
	echo              uint32
	// unacked is the last response until it is acknowledged.
	unacked *packet
	dueAt   time.Time
	step    time.Duration
	resent  int
}

// endpoint is an endpoint of a service.
type endpoint struct {
	b             *bed
	id            string
	target        uint64
	service, zone string
	conn          *net.UDPConn
	health        net.Listener
	work          time.Duration

	mu       sync.Mutex
	flows    map[flowKey]*heldFlow
	listens  bool
	busy     int
	sequence int
	born     time.Time
	warmup   time.Duration
	boot     int
	// unwritten is set while the store was down when the entry was to be written.
	unwritten bool
	// cold holds the flows that have opened while the endpoint was cold.
	cold []coldOpening
}

// coldOpening is the opening packet of a flow that a cold endpoint took.
type coldOpening struct{ sentAt, arrivedAt time.Time }

func newEndpoint(b *bed, n int, service, zone string, at netip.Addr, work time.Duration) *endpoint {
	e := &endpoint{b: b, target: rand.Uint64() >> 24, service: service, zone: zone, work: work, flows: make(map[flowKey]*heldFlow)}
	e.id = fmt.Sprintf("i-%010x", e.target)
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, uint16(8080+n))))
	b.must(err)
	e.conn = conn
	e.health, err = net.Listen("tcp4", conn.LocalAddr().String())
	b.must(err)
	go func() {
		_ = http.Serve(e.health, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	}()
	go e.read()
	go e.tick()
	return e
}

func (e *endpoint) address() netip.AddrPort { return e.conn.LocalAddr().(*net.UDPAddr).AddrPort() }

// start begins a boot of the endpoint, which is cold for the given time, and writes its entry.
func (e *endpoint) start(warmup time.Duration) {
	e.mu.Lock()
	e.boot++
	e.flows = make(map[flowKey]*heldFlow)
	e.born, e.warmup, e.sequence, e.listens, e.busy = time.Now(), warmup, 0, true, 0
	e.write()
	e.mu.Unlock()
	e.b.rec.event("endpoint %s boot %d starts, cold for %v", e.id, e.boot, warmup)
}

// crash ends the boot: the endpoint forgets its flows and does not listen.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listens = false
	e.flows = make(map[flowKey]*heldFlow)
	e.b.rec.event("endpoint %s crashes", e.id)
}

// write writes the entry, unless the store is down. The lock must be held.
func (e *endpoint) write() {
	if e.b.storeDown.Load() {
		e.unwritten = true
		return
	}
	e.unwritten = false
	e.sequence++
	data, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address().String(), "zone": e.zone, "version": "v1", "capacity": slots,
		"state": "ready", "warmup_remaining_ms": max(e.warmup-time.Since(e.born), 0).Milliseconds(),
		"sequence": e.sequence, "born": e.born.UnixMilli(),
	})
	e.b.must(err)
	e.b.store.Put("servers/"+e.id, data)
}

// tick writes the entry while it changes and retransmits responses.
func (e *endpoint) tick() {
	lastBeat := time.Now()
	warm := false
	for range time.Tick(20 * time.Millisecond) {
		e.mu.Lock()
		now := time.Now()
		if e.unwritten && !e.b.storeDown.Load() {
			e.write()
		}
		if now.Sub(lastBeat) >= heartbeat {
			lastBeat = now
			cold := now.Sub(e.born) < e.warmup
			if e.listens && (cold || !warm) && e.boot > 0 {
				e.write()
				warm = !cold
			}
			warm = warm && !cold
		}
		for key, f := range e.flows {
			if f.unacked == nil || now.Before(f.dueAt) {
				continue
			}
			if f.resent++; f.resent > maxRetransmits {
				delete(e.flows, key)
				continue
			}
			f.step = min(2*f.step, maxRetransmit)
			f.dueAt = now.Add(f.step)
			f.unacked.echo = f.echo
			e.send(f.unacked)
		}
		e.mu.Unlock()
	}
}

func (e *endpoint) send(p *packet) {
	to := netip.AddrPortFrom(p.dst.Addr(), e.b.dataPort)
	_, _ = e.conn.WriteToUDPAddrPort(p.sign().encode(), to)
}

func (e *endpoint) read() {
	buf := make([]byte, maxPacket)
	for {
		n, _, err := e.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		if n < targetSize {
			continue
		}
		p, ok := decode(buf[targetSize:n])
		if !ok {
			continue
		}
		if p.sum != p.keyedSum() {
			e.b.rec.violation("UNASKED: endpoint %s got a packet that its sender didn't write so", e.id)
			continue
		}
		if to := binary.BigEndian.Uint64(buf); to == e.target || to == 0 {
			e.handle(&p)
		}
	}
}

// handle processes a packet of a requester.
func (e *endpoint) handle(p *packet) {
	e.mu.Lock()
	defer e.mu.Unlock()
	key := flowKey{p.src, p.dst}
	f := e.flows[key]
	switch {
	case !e.listens:
		e.reset(p)
	case p.has(flagSYN):
		e.takeSYN(p, key, f)
	case p.has(flagRST):
		delete(e.flows, key)
	case f == nil || !f.open && p.ack != f.ownISN+1:
		e.reset(p)
	default:
		f.echo = p.echo
		e.handleOpen(p, key, f)
	}
}

// reset answers a packet of a flow that the endpoint does not hold.
func (e *endpoint) reset(p *packet) {
	if p.has(flagRST) {
		return
	}
	e.b.rec.resetSent(e, p)
	e.send(&packet{flags: flagRST | flagACK, src: p.dst, dst: p.src, echo: p.echo, seq: p.ack, ack: p.seq + uint32(len(p.data))})
}

func (e *endpoint) takeSYN(p *packet, key flowKey, f *heldFlow) {
	if f != nil && f.isn == p.seq && f.open {
		return
	}
	if f == nil || f.isn != p.seq {
		f = &heldFlow{isn: p.seq, ownISN: rand.Uint32(), expected: p.seq + 1, sentAt: e.b.rec.synSent(p), arrivedAt: time.Now()}
		f.next = f.ownISN + 1
		e.flows[key] = f
	}
	f.echo = p.echo
	e.send(&packet{flags: flagSYN | flagACK, src: p.dst, dst: p.src, echo: f.echo, seq: f.ownISN, ack: p.seq + 1})
}

// handleOpen processes a packet of a flow that is open, or opens now.
func (e *endpoint) handleOpen(p *packet, key flowKey, f *heldFlow) {
	if !f.open {
		f.open = true
		if f.arrivedAt.Sub(e.born) < e.warmup {
			e.cold = append(e.cold, coldOpening{f.sentAt, f.arrivedAt})
		}
		e.b.rec.opened(e, key, f.isn)
	}
	if f.unacked != nil && int32(p.ack-f.unacked.seq) > 0 {
		f.unacked = nil
	}
	switch {
	case p.has(flagFIN):
		f.finished = true
		e.send(&packet{flags: flagFIN | flagACK, src: p.dst, dst: p.src, echo: f.echo, seq: f.next, ack: p.seq + 1})
	case f.finished && len(p.data) > 0:
		e.reset(p)
	case len(p.data) > 0 && p.seq == f.expected:
		f.expected += uint32(len(p.data))
		e.accept(string(p.data), key, f)
	case len(p.data) > 0 && f.unacked != nil:
		f.unacked.echo = f.echo
		e.send(f.unacked)
	}
}

// accept runs a request, or says that it does not.
func (e *endpoint) accept(id string, key flowKey, f *heldFlow) {
	if e.busy >= slots+queueLength {
		e.respond(key, f, "503 not-executed "+id)
		return
	}
	e.busy++
	boot, wait := e.boot, time.Duration(1+(e.busy-1)/slots)*e.work
	e.b.rec.ran(e, id)
	time.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.boot != boot || !e.listens {
			return
		}
		e.busy--
		if e.flows[key] == f {
			e.respond(key, f, "200 "+e.id+" "+id)
		}
	})
}

// respond sends a response. The lock must be held.
func (e *endpoint) respond(key flowKey, f *heldFlow, text string) {
	f.unacked = &packet{
		flags: flagACK, src: key.service, dst: key.requester, echo: f.echo, seq: f.next, ack: f.expected, data: []byte(text),
	}
	f.next += uint32(len(text))
	f.step, f.resent = firstRetransmit, 0
	f.dueAt = time.Now().Add(f.step)
	e.send(f.unacked)
}

// disturbed reports whether the endpoint was disturbed within the stable window, but for its
// first start.
func (e *endpoint) disturbed(began time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.listens || e.born.After(began.Add(time.Second)) && time.Since(e.born) < stableWindow
}

// checkCold checks rule FAILBACK: the requests that were sent to the endpoint and arrived within
// any second while it was cold.
func (e *endpoint) checkCold(bound float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	most := 0
	var from time.Time
	for _, first := range e.cold {
		count := 0
		for _, o := range e.cold {
			if !o.sentAt.Before(first.sentAt) && o.arrivedAt.Sub(first.sentAt) <= time.Second {
				count++
			}
		}
		if count > most {
			most, from = count, first.sentAt
		}
	}
	e.b.rec.event("endpoint %s: at most %d requests in a second while cold, %d in all; the bound is %.1f", e.id, most, len(e.cold), bound)
	if float64(most) > bound {
		e.b.rec.violation("FAILBACK: cold endpoint %s got %d requests in the second from %.3f s on; the bound is %.1f",
			e.id, most, from.Sub(e.b.rec.began).Seconds(), bound)
	}
}
