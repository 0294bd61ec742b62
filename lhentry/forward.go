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

// forwarder reads packets and executes the verdicts of the engine. Each worker has its
// own forwarder.
type forwarder struct {
	entry *Entry
	// handle is the worker's handle of the entry's socket.
	handle  *net.UDPConn
	decoder lhwire.Decoder
	counters
	sendBuf []byte
}

func newForwarder(e *Entry, handle *net.UDPConn) *forwarder {
	return &forwarder{entry: e, handle: handle, sendBuf: make([]byte, 0, lhsock.MaxDatagram)}
}

// run forwards packets until ctx is done or the socket is closed.
func (f *forwarder) run(ctx context.Context) error {
	return lhsock.Serve(ctx, f.handle,
		func(datagram []byte, from netip.AddrPort) { f.handlePacket(datagram, from, f.entry.now()) },
		func() { f.add(CountSendFailed) })
}

// handlePacket processes one datagram.
func (f *forwarder) handlePacket(datagram []byte, from netip.AddrPort, now time.Duration) {
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
	if !f.identifySource(p, from, &ev) {
		f.add(CountForeignSource)
		return
	}
	if fault := f.entry.tagKey.Verify(p, ev.ID); fault != lhwire.FaultNone {
		f.faults[fault].Add(1)
		return
	}
	if limit := f.entry.innerLimit(); p.Sender() == 0 && len(p.Inner()) > limit {
		f.replyTooBig(p, &ev, limit)
		return
	}
	if fault := p.DecrementHopLimit(); fault != lhwire.FaultNone {
		f.faults[fault].Add(1)
		return
	}
	f.execute(p, &ev, f.entry.engine.Handle(ev))
}

// replyTooBig tells the sender of an oversized packet the maximum packet size.
func (f *forwarder) replyTooBig(p *lhwire.Packet, ev *lhflow.Event, limit int) {
	f.add(CountTooBig)
	inner := lhwire.ICMPPacketTooBig(p, uint16(limit))
	if ev.Source == lhflow.FromCaller {
		f.sendToFabric(inner)
		return
	}
	if server, ok := f.entry.table.Load().Server(ev.Server); ok && inner != nil {
		f.sendGeneve(inner, server.Address())
	}
}

// identifySource sets the source of the packet in ev. It returns false if the source is
// not the address of a known member, of the fabric or of a backend server.
func (f *forwarder) identifySource(p *lhwire.Packet, from netip.AddrPort, ev *lhflow.Event) bool {
	switch {
	case p.Sender() != 0:
		return f.identifyPeer(p, from, ev)
	case f.entry.fabricAddrs[from.Addr()]:
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
		f.entry.detector.packetReceived(ev.Now, ev.Server)
	}
	return ok
}

func (f *forwarder) identifyPeer(p *lhwire.Packet, from netip.AddrPort, ev *lhflow.Event) bool {
	member, ok := f.entry.recentMembers.member(p.Sender())
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

func (f *forwarder) execute(p *lhwire.Packet, ev *lhflow.Event, v lhflow.Verdict) {
	if v.Reason != lhflow.ReasonNone {
		f.reasons[v.Reason].Add(1)
	}
	if v.AbandonedServer != 0 {
		f.resetHalfOpen(ev, v.AbandonedServer)
	}
	switch v.Action {
	case lhflow.ToServer:
		f.sendToServer(p, v.Server)
	case lhflow.ToCaller:
		f.add(CountToCaller)
		f.sendGeneve(p.Inner(), f.entry.settings.FabricTo)
	case lhflow.ToPeer:
		f.sendToPeer(p, ev, v)
	case lhflow.Refuse:
		f.add(CountRefused)
		f.sendToFabric(rejection(p))
	case lhflow.Reset:
		f.add(CountReset)
		f.sendToFabric(rejection(p))
	}
}

// rejection returns the inner packet that ends the flow of p towards its caller. A reset
// in response to a SYN means that the server has processed nothing; a reset in response
// to a later segment means that the outcome is unknown; an ICMP error means that the
// datagram was not processed.
func rejection(p *lhwire.Packet) []byte {
	if p.Proto() == lhflow.UDP {
		return lhwire.ICMPAdminProhibited(p)
	}
	return lhwire.ResetToCaller(p)
}

func (f *forwarder) sendToFabric(inner []byte) {
	if inner != nil {
		f.sendGeneve(inner, f.entry.settings.FabricTo)
	}
}

func (f *forwarder) sendToServer(p *lhwire.Packet, number uint32) {
	table := f.entry.table.Load()
	server, ok := table.Server(number)
	switch {
	case ok:
	case table.Ahead(number):
		f.add(CountServerAhead)
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
	f.sendGeneve(inner, server.Address())
}

func (f *forwarder) sendToPeer(p *lhwire.Packet, ev *lhflow.Event, v lhflow.Verdict) {
	member, ok := f.entry.recentMembers.member(v.Peer)
	if !ok {
		f.reasons[lhflow.ReasonCutOff].Add(1)
		return
	}
	f.add(CountToPeer)
	f.sendBuf = f.entry.tagKey.AppendGeneve(f.sendBuf[:0], p.Inner(), ev.ID, f.entry.engine.View().Self, v.Relay)
	f.writeDatagram(member.Data)
}

// resetHalfOpen resets the half-open flow at a server that did not respond to its SYN.
func (f *forwarder) resetHalfOpen(ev *lhflow.Event, number uint32) {
	server, ok := f.entry.table.Load().Server(number)
	if !ok {
		return
	}
	f.add(CountAbandoned)
	f.sendGeneve(lhwire.ResetToServer(ev.Key, ev.Seq+1), server.Address())
}

// sendGeneve encapsulates an inner packet in Geneve and sends it.
func (f *forwarder) sendGeneve(inner []byte, to netip.AddrPort) {
	f.sendBuf = lhwire.AppendGeneve(f.sendBuf[:0], inner, 0, lhflow.Relay{})
	f.writeDatagram(to)
}

func (f *forwarder) writeDatagram(to netip.AddrPort) {
	if !f.entry.network.reachable(to) {
		return
	}
	if _, err := f.handle.WriteToUDPAddrPort(f.sendBuf, to); err != nil {
		f.add(CountSendFailed)
	}
}
