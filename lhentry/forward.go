package lhentry

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhsock"
	"github.com/laburnumhollow/laburnumhollow/lhwire"
)

// forwarder reads packets and carries out what the engine decides. Each worker
// has one of its own.
type forwarder struct {
	entry *Entry
	// handle is the worker's own handle of the entry's socket.
	handle  *net.UDPConn
	decoder lhwire.Decoder
	counters
	out []byte
}

func newForwarder(e *Entry, handle *net.UDPConn) *forwarder {
	return &forwarder{entry: e, handle: handle, out: make([]byte, 0, lhsock.MaxDatagram)}
}

// run forwards packets until the context ends or the socket is closed.
func (f *forwarder) run(ctx context.Context) error {
	return lhsock.Serve(ctx, f.handle,
		func(datagram []byte, from netip.AddrPort) { f.packet(datagram, from, f.entry.now()) },
		func() { f.add(CountSendFailed) })
}

// packet handles one datagram.
func (f *forwarder) packet(datagram []byte, from netip.AddrPort, now time.Duration) {
	f.add(CountReceived)
	p, fault := f.decoder.Decode(datagram)
	if fault != lhwire.FaultNone {
		f.faults[fault].Add(1)
		return
	}
	ev := lhflow.Event{
		Now:       now,
		Flags:     p.Flags(),
		Seq:       p.Seq(),
		Ack:       p.Ack(),
		Data:      p.PayloadLen(),
		ICMPError: p.IsICMPError(),
	}
	if !f.identify(p, from, &ev) {
		f.add(CountForeign)
		return
	}
	if fault := f.entry.tagKey.Verify(p, ev.ID); fault != lhwire.FaultNone {
		f.faults[fault].Add(1)
		return
	}
	if limit := f.entry.innerLimit(); p.Sender() == 0 && len(p.Inner()) > limit {
		f.tooBig(p, &ev, limit)
		return
	}
	if fault := p.DecrementHopLimit(); fault != lhwire.FaultNone {
		f.faults[fault].Add(1)
		return
	}
	f.carryOut(p, &ev, f.entry.engine.Handle(ev))
}

// tooBig tells the sender of a packet how large its packets may be.
func (f *forwarder) tooBig(p *lhwire.Packet, ev *lhflow.Event, limit int) {
	f.add(CountTooBig)
	inner := lhwire.ICMPPacketTooBig(p, uint16(limit))
	if ev.Source == lhflow.FromCaller {
		f.answer(inner)
		return
	}
	if server, ok := f.entry.table.Load().Server(ev.Server); ok && inner != nil {
		f.send(inner, server.Address())
	}
}

// identify fills in who sent the packet. It reports false for a source that is
// no known member, fabric or backend server address.
func (f *forwarder) identify(p *lhwire.Packet, from netip.AddrPort, ev *lhflow.Event) bool {
	switch {
	case p.Sender() != 0:
		return f.fromPeer(p, from, ev)
	case f.entry.fabric[from.Addr()]:
		ev.Source = lhflow.FromCaller
	default:
		ev.Source = lhflow.FromServer
	}
	ev.Key = p.Key(ev.Source)
	ev.ID = f.entry.settings.Seed.ID(ev.Key)
	if ev.Source == lhflow.FromCaller {
		return true
	}
	table := f.entry.table.Load()
	service, ok := table.Service(ev.Key)
	if !ok {
		return false
	}
	ev.Server, ok = table.ServerAt(from, service)
	if ok {
		f.entry.silence.heard(ev.Now, ev.Server)
	}
	return ok
}

func (f *forwarder) fromPeer(p *lhwire.Packet, from netip.AddrPort, ev *lhflow.Event) bool {
	member, ok := f.entry.members.member(p.Sender())
	if !ok || member.Data != from {
		return false
	}
	f.add(CountFromPeer)
	ev.Peer = p.Sender()
	ev.Relay = p.Relay()
	ev.Source = ev.Relay.Source
	ev.Key = p.Key(ev.Source)
	ev.ID = f.entry.settings.Seed.ID(ev.Key)
	if ev.Source == lhflow.FromServer {
		ev.Server = ev.Relay.Server
	}
	return true
}

func (f *forwarder) carryOut(p *lhwire.Packet, ev *lhflow.Event, v lhflow.Verdict) {
	if v.Reason != lhflow.ReasonNone {
		f.reasons[v.Reason].Add(1)
	}
	if v.AbandonedServer != 0 {
		f.abandon(ev, v.AbandonedServer)
	}
	switch v.Action {
	case lhflow.ToServer:
		f.toServer(p, v.Server)
	case lhflow.ToCaller:
		f.add(CountToCaller)
		f.send(p.Inner(), f.entry.settings.FabricTo)
	case lhflow.ToPeer:
		f.toPeer(p, ev, v)
	case lhflow.Refuse:
		f.add(CountRefused)
		f.answer(refusal(p))
	case lhflow.Reset:
		f.add(CountReset)
		f.answer(refusal(p))
	}
}

// refusal returns the inner packet that ends the flow of p towards its caller. A
// reset of a SYN says that nothing ran; a reset of a later segment says that the
// outcome is not known; an ICMP error says that its datagram did not run.
func refusal(p *lhwire.Packet) []byte {
	if p.Proto() == lhflow.UDP {
		return lhwire.ICMPAdminProhibited(p)
	}
	return lhwire.ResetToCaller(p)
}

func (f *forwarder) answer(inner []byte) {
	if inner != nil {
		f.send(inner, f.entry.settings.FabricTo)
	}
}

func (f *forwarder) toServer(p *lhwire.Packet, number uint32) {
	table := f.entry.table.Load()
	server, ok := table.Server(number)
	switch {
	case ok:
	case table.Ahead(number):
		f.add(CountAhead)
		return
	default:
		f.reasons[lhflow.ReasonServerGone].Add(1)
		return
	}
	inner := p.Inner()
	if p.Flags().Has(lhflow.SYN) {
		inner = lhwire.StripSYNData(p)
	}
	f.add(CountToServer)
	f.send(inner, server.Address())
}

func (f *forwarder) toPeer(p *lhwire.Packet, ev *lhflow.Event, v lhflow.Verdict) {
	member, ok := f.entry.members.member(v.Peer)
	if !ok {
		f.reasons[lhflow.ReasonCutOff].Add(1)
		return
	}
	f.add(CountToPeer)
	f.out = f.entry.tagKey.AppendGeneve(f.out[:0], p.Inner(), ev.ID, f.entry.engine.View().Self, v.Relay)
	f.write(member.Data)
}

// abandon resets the half-open flow at a server that did not answer its SYN.
func (f *forwarder) abandon(ev *lhflow.Event, number uint32) {
	server, ok := f.entry.table.Load().Server(number)
	if !ok {
		return
	}
	f.add(CountAbandoned)
	f.send(lhwire.ResetToServer(ev.Key, ev.Seq+1), server.Address())
}

// send sends an inner packet in a Geneve packet.
func (f *forwarder) send(inner []byte, to netip.AddrPort) {
	f.out = lhwire.AppendGeneve(f.out[:0], inner, 0, lhflow.Relay{})
	f.write(to)
}

func (f *forwarder) write(to netip.AddrPort) {
	if !f.entry.network.reaches(to) {
		return
	}
	if _, err := f.handle.WriteToUDPAddrPort(f.out, to); err != nil {
		f.add(CountSendFailed)
	}
}
