package lhentry

import (
	"context"
	"net/netip"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhmark"
	"github.com/laburnumhollow/laburnumhollow/lhsock"
)

// initialConfigTimeout is how long packets wait in the socket buffer for the first
// configuration after a start: about as long as a caller waits for a response to its SYN.
const initialConfigTimeout = time.Second

// forward forwards packets until ctx is done or the socket is closed. It first waits for
// the configuration, because routers may send packets to a VM that is not ready when most
// other VMs are down as well.
func (m *Marked) forward(ctx context.Context) error {
	m.awaitConfig(ctx)
	return lhsock.Serve(ctx, m.socket.Handles()[0], m.handlePacket, func() { m.counters.sendFailed.Add(1) })
}

// awaitConfig waits for the first configuration, for up to initialConfigTimeout.
func (m *Marked) awaitConfig(ctx context.Context) {
	select {
	case <-m.initialized:
	case <-ctx.Done():
	case <-time.After(initialConfigTimeout):
	}
}

// handlePacket processes one datagram and looks whether the socket is empty after a stall.
func (m *Marked) handlePacket(datagram []byte, _ netip.AddrPort) {
	m.handleDatagram(datagram)
	m.drainAfterStall()
}

func (m *Marked) handleDatagram(datagram []byte) {
	m.counters.received.Add(1)
	ev, err := m.deps.Codec.Decode(datagram)
	if err != nil {
		m.counters.invalid.Add(1)
		return
	}
	ev.Now = m.now()
	ev.ID = lhflow.Seed{}.ID(ev.Key)
	d := m.decide(&ev)
	m.countDecision(&d)
	if d.Observed.Evidence != 0 {
		m.share(d.Observed)
	}
	if d.Probe != nil {
		m.requestProbe(d.Probe)
	}
	switch d.Action {
	case lhflow.ToServer:
		m.sendBuf = m.deps.Codec.AppendToServer(m.sendBuf[:0], datagram, d.To.TargetID, d.Server)
		m.send(d.To.Address)
	case lhflow.Refuse, lhflow.Reset:
		m.sendBuf = m.deps.Codec.AppendReset(m.sendBuf[:0], &ev)
		m.send(netip.AddrPortFrom(ev.Key.CallerAddr().Addr(), m.Data().Port()))
	}
	m.logDecision(&ev, &d)
}

func (m *Marked) send(to netip.AddrPort) { m.sendFrom(m.sendBuf, to) }

// sendFrom sends a datagram. It may be called by any goroutine.
func (m *Marked) sendFrom(datagram []byte, to netip.AddrPort) {
	if _, err := m.socket.Handles()[0].WriteToUDPAddrPort(datagram, to); err != nil {
		m.counters.sendFailed.Add(1)
	}
}

// countDecision updates the counters and histograms for a decision.
func (m *Marked) countDecision(d *lhmark.Decision) {
	m.counters.actions[d.Action].Add(1)
	m.counters.reasons[d.Reason].Add(1)
	switch {
	case d.Attempt > 1:
		m.counters.placedAgain.Add(1)
	case d.Attempt == 1:
		m.counters.placed.Add(1)
	}
	if d.Limited {
		m.counters.limited.Add(1)
	}
	if d.Opened {
		m.latency.RecordHandshake(d.Latency)
	}
	if d.Served {
		m.latency.RecordResponse(d.Latency)
	}
}

// logDecision logs where the SYN of a flow is sent, and each packet that is not forwarded
// to a server or does not match a known flow. A flow is identified by its addresses and
// the sequence number of its SYN.
func (m *Marked) logDecision(ev *lhflow.Event, d *lhmark.Decision) {
	if d.Recovered {
		m.flowLog.info().Str("server", d.To.Name).Dur("after", d.Latency).Msg("backend server answers again")
	}
	if d.Unresponsive != nil {
		m.flowLog.warn().Str("server", d.Unresponsive.Name).Str("datacentre", d.Unresponsive.DataCentre).Int("failures", d.Failures).
			Stringer("caller", ev.Key.CallerAddr()).Uint32("seq", ev.Seq).Msg("backend server left a SYN unanswered")
	}
	var line *zerolog.Event
	switch {
	case d.Attempt > 0:
		line = m.flowLog.info()
	case d.Action != lhflow.ToServer || !d.Known:
		line = m.flowLog.warn()
	}
	if line == nil {
		return
	}
	line.Stringer("caller", ev.Key.CallerAddr()).Stringer("to", ev.Key.ServiceAddr()).
		Uint32("seq", ev.Seq).Uint64("revision", m.engine.Table().Revision()).
		Stringer("store", m.counters.knownRevision()).Dur("age", m.storeAge(ev.Now))
	if d.Route != nil {
		line.Str("route", d.Route.Name)
	}
	if d.To != nil {
		snap := m.engine.Server(ev.Now, d.To.Number)
		line.Str("server", d.To.Name).Str("datacentre", d.To.DataCentre).Int("held", snap.OpenFlows).Int("busy", snap.InFlight)
		if d.Attempt > 0 && m.settings.Load().Speeds {
			line.Float64("slowness", snap.Slowness)
		}
	}
	if d.Limited {
		line.Bool("limited", true)
	}
	if d.Attempt > 0 {
		line.Int("attempt", d.Attempt).Float64("cost", d.Cost)
	} else {
		line.Uint32("mark", ev.Mark).Bool("known", d.Known)
	}
	line.Str("reason", reasonNames[d.Reason]).Msg(actionMessages[d.Action])
}

// storeAge returns the time since the known state of the store was current; 0 if no state
// is known.
func (m *Marked) storeAge(now time.Duration) time.Duration {
	asOf := time.Duration(m.counters.storeTime.Load())
	if asOf == 0 {
		return 0
	}
	return now - asOf
}

// actionMessages are the log messages for single flows.
var actionMessages = map[lhflow.Action]string{
	lhflow.Drop:     "packet dropped",
	lhflow.ToServer: "flow to server",
	lhflow.Refuse:   "flow refused",
	lhflow.Reset:    "flow reset",
}
