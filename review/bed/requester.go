package main

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// resetWindow is how far the seq of a reset may be from the requester's last ack.
const resetWindow = 76_800

var (
	errNotOpened = errors.New("not opened")
	errReset     = errors.New("reset")
	errBudget    = errors.New("time budget used up")
)

// host is an address of requesters in a zone.
type host struct {
	b    *bed
	zone string
	conn *net.UDPConn
	mu   sync.Mutex
	port uint16
	// flows holds the flows by their port.
	flows map[uint16]*flow
}

func newHost(b *bed, zone string, at netip.Addr) *host {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, b.dataPort)))
	b.must(err)
	h := &host{b: b, zone: zone, conn: conn, port: uint16(20000 + rand.IntN(10000)), flows: make(map[uint16]*flow)}
	go h.read()
	return h
}

func (h *host) address() netip.Addr {
	return h.conn.LocalAddr().(*net.UDPAddr).AddrPort().Addr().Unmap()
}

func (h *host) read() {
	buf := make([]byte, maxPacket)
	for {
		n, from, err := h.conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		p, ok := decode(buf[:n])
		if !ok {
			continue
		}
		h.mu.Lock()
		f := h.flows[p.dst.Port()]
		h.mu.Unlock()
		if f == nil || f.service != p.src {
			continue
		}
		select {
		case f.in <- received{p, netip.AddrPortFrom(from.Addr().Unmap(), from.Port())}:
		default:
		}
	}
}

// received is a packet with the address that it came from.
type received struct {
	packet
	from netip.AddrPort
}

// flow is a flow of a requester. It is used by one goroutine.
type flow struct {
	h        *host
	service  netip.AddrPort
	own      netip.AddrPort
	in       chan received
	isn      uint32
	open     bool
	openedAt time.Time
	// seq is the next number to send and ack what has been received; echo is the last one received.
	seq, ack, echo uint32
	// took is the VM that the last packet was sent to.
	took *vm
	// resetBy is where the reset came from that has ended the flow.
	resetBy netip.AddrPort
	sentAt  time.Time
}

// newFlow returns a flow from a new port.
func (h *host) newFlow(service netip.AddrPort) *flow {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.port++
	if h.port < 1024 {
		h.port = 1024
	}
	f := &flow{h: h, service: service, own: netip.AddrPortFrom(h.address(), h.port), in: make(chan received, 64), isn: rand.Uint32()}
	h.flows[h.port] = f
	return f
}

// end forgets a flow.
func (f *flow) end() {
	f.h.mu.Lock()
	defer f.h.mu.Unlock()
	delete(f.h.flows, f.own.Port())
}

// hash returns the hash by which routers select a node.
func (f *flow) hash() uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, f.own, f.service)
	return h.Sum32()
}

func (f *flow) send(flags byte, data []byte) {
	p := &packet{flags: flags, src: f.own, dst: f.service, echo: f.echo, seq: f.seq, ack: f.ack, data: data}
	v := f.h.b.routers.pick(f.h.zone, f.hash())
	if v == nil {
		return
	}
	f.took, f.sentAt = v, time.Now()
	if flags&flagSYN != 0 {
		f.h.b.rec.synLeaves(f, int(f.ack), v)
	}
	_, _ = f.h.conn.WriteToUDPAddrPort(p.sign().encode(), v.data)
}

// connect opens the flow with the first request, which follows the handshake at once.
func (f *flow) connect(ctx context.Context) error {
	f.seq, f.ack = f.isn, 0
	start := time.Now()
	due := []time.Duration{200 * time.Millisecond, 600 * time.Millisecond}
	f.send(flagSYN, nil)
	for {
		wait := 1400*time.Millisecond - time.Since(start)
		if len(due) > 0 {
			wait = due[0] - time.Since(start)
		}
		select {
		case <-ctx.Done():
			return errNotOpened
		case p := <-f.in:
			if p.has(flagRST) {
				return errNotOpened
			}
			f.echo = p.echo
			if p.has(flagSYN) && p.packet.ack == f.isn+1 {
				f.open, f.openedAt = true, time.Now()
				f.seq, f.ack = f.isn+1, p.seq+1
				return nil
			}
		case <-time.After(wait):
			if len(due) == 0 {
				return errNotOpened
			}
			due = due[1:]
			f.ack++
			f.send(flagSYN, nil)
		}
	}
}

// request sends a request and waits for its answer within the time budget.
func (f *flow) request(ctx context.Context, id string, budget time.Duration) (string, error) {
	start, step := time.Now(), firstRetransmit
	next := start.Add(step)
	data := []byte(id)
	f.send(flagACK, data)
	for {
		if time.Since(start) >= budget || ctx.Err() != nil {
			return "", errBudget
		}
		select {
		case p := <-f.in:
			f.echo = p.echo
			if p.has(flagRST) {
				if f.accepts(&p) {
					return "", errReset
				}
				continue
			}
			if len(p.data) == 0 || p.seq != f.ack || p.packet.ack != f.seq+uint32(len(data)) {
				continue
			}
			f.seq += uint32(len(data))
			f.ack += uint32(len(p.data))
			f.send(flagACK, nil)
			return string(p.data), nil
		case <-time.After(min(time.Until(next), budget-time.Since(start))):
			if time.Now().Before(next) {
				continue
			}
			step = min(2*step, maxRetransmit)
			next = time.Now().Add(step)
			f.send(flagACK, data)
		}
	}
}

// accepts reports whether a reset ends the flow.
func (f *flow) accepts(p *received) bool {
	distance := int32(p.seq - f.ack)
	if distance > resetWindow || distance < -resetWindow {
		return false
	}
	f.resetBy = p.from
	return true
}

// idle waits for a pause between requests. It returns errReset if the flow is reset meanwhile.
func (f *flow) idle(ctx context.Context, pause time.Duration) error {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
			return nil
		case p := <-f.in:
			f.echo = p.echo
			switch {
			case p.has(flagRST):
				if f.accepts(&p) {
					return errReset
				}
			case len(p.data) > 0:
				// A response that was sent again.
				f.send(flagACK, nil)
			}
		}
	}
}

func (f *flow) finish() {
	f.send(flagFIN|flagACK, nil)
}

// habit is how a user opens and uses flows.
type habit struct {
	service  netip.AddrPort
	requests int
	// pause is the mean pause between requests, and between flows.
	pause, between time.Duration
	budget         time.Duration
}

// use opens flows one after the other until ctx is done.
func (h *host) use(ctx context.Context, user string, a habit) {
	for n := 0; ctx.Err() == nil; n++ {
		h.useFlow(ctx, fmt.Sprintf("%s.%d", user, n), a)
		sleep(ctx, vary(a.between))
	}
}

// useFlow opens one flow and sends its requests.
func (h *host) useFlow(ctx context.Context, name string, a habit) {
	f := h.newFlow(a.service)
	defer f.end()
	if err := f.connect(ctx); err != nil {
		h.b.rec.flowEnded(f, name, 0, err)
		return
	}
	for i := range a.requests {
		id := fmt.Sprintf("%s/%d", name, i)
		h.b.rec.sent(id)
		answer, err := f.request(ctx, id, a.budget)
		if err == nil {
			h.b.rec.answered(id, answer)
			if !strings.HasSuffix(answer, " "+id) {
				h.b.rec.violation("MIXED: request %s was answered %q", id, answer)
			}
			if i+1 < a.requests {
				err = f.idle(ctx, vary(a.pause))
			}
		}
		if err != nil {
			if ctx.Err() == nil {
				h.b.rec.flowEnded(f, name, i, err)
			}
			return
		}
	}
	f.finish()
	h.b.rec.flowEnded(f, name, a.requests, nil)
}

// vary returns a time between half and one and a half of the mean.
func vary(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(rand.Int64N(int64(mean)+1))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
