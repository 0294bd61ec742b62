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

// holdTime is how long packets wait in the socket for the first configuration after a
// start: about as long as a caller waits for an answer to its SYN.
const holdTime = time.Second

// forward forwards packets until the context ends or the socket is closed. Routers may
// send packets before the VM says that it is ready, where most others are gone as well.
func (m *Marked) forward(ctx context.Context) error {
	select {
	case <-m.informed:
	case <-ctx.Done():
	case <-time.After(holdTime):
	}
	return lhsock.Serve(ctx, m.socket.Handles()[0], m.packet, func() { m.counters.sendFailed.Add(1) })
}

// packet handles one datagram.
func (m *Marked) packet(datagram []byte, _ netip.AddrPort) {
	m.counters.received.Add(1)
	ev, err := m.outside.Codec.Decode(datagram)
	if err != nil {
		m.counters.invalid.Add(1)
		return
	}
	ev.Now = m.now()
	ev.ID = lhflow.Seed{}.ID(ev.Key)
	d := m.engine.Handle(&ev)
	m.count(&d)
	switch d.Action {
	case lhflow.ToServer:
		m.out = m.outside.Codec.AppendToServer(m.out[:0], datagram, d.To.TargetID, d.Server)
		m.send(d.To.Address)
	case lhflow.Refuse, lhflow.Reset:
		m.out = m.outside.Codec.AppendReset(m.out[:0], &ev)
		m.send(netip.AddrPortFrom(ev.Key.CallerAddr().Addr(), m.Data().Port()))
	}
	m.explain(&ev, &d)
}

func (m *Marked) send(to netip.AddrPort) {
	if _, err := m.socket.Handles()[0].WriteToUDPAddrPort(m.out, to); err != nil {
		m.counters.sendFailed.Add(1)
	}
}

// count takes a decision into the counters and histograms.
func (m *Marked) count(d *lhmark.Decision) {
	m.counters.actions[d.Action].Add(1)
	m.counters.reasons[d.Reason].Add(1)
	switch {
	case d.Attempt > 1:
		m.counters.again.Add(1)
	case d.Attempt == 1:
		m.counters.placed.Add(1)
	}
	if d.Opened {
		m.times.RecordHandshake(d.Latency)
	}
	if d.Served {
		m.times.RecordResponse(d.Latency)
	}
}

// explain logs what was decided over a flow: where its SYN goes, and each packet that
// does not go on as its flow would have it. A flow's ID is both its ends and the
// sequence number of its SYN.
func (m *Marked) explain(ev *lhflow.Event, d *lhmark.Decision) {
	if d.Recovered {
		m.lines.info().Str("server", d.To.Name).Dur("after", d.Latency).Msg("backend server answers again")
	}
	if d.Unresponsive != nil {
		m.lines.warn().Str("server", d.Unresponsive.Name).Str("datacentre", d.Unresponsive.DataCentre).Int("failures", d.Failures).
			Stringer("caller", ev.Key.CallerAddr()).Uint32("seq", ev.Seq).Msg("backend server left a SYN unanswered")
	}
	var line *zerolog.Event
	switch {
	case d.Attempt > 0:
		line = m.lines.info()
	case d.Action != lhflow.ToServer || !d.Known:
		line = m.lines.warn()
	}
	if line == nil {
		return
	}
	line.Stringer("caller", ev.Key.CallerAddr()).Stringer("to", ev.Key.ServiceAddr()).
		Uint32("seq", ev.Seq).Uint64("revision", m.engine.Table().Revision()).
		Uint64("store", m.counters.storeRevision.Load()).Dur("age", m.age(ev.Now))
	if d.Route != nil {
		line.Str("route", d.Route.Name)
	}
	if d.To != nil {
		snap := m.engine.Server(ev.Now, d.To.Number)
		line.Str("server", d.To.Name).Str("datacentre", d.To.DataCentre).Int("held", snap.OpenFlows).Int("busy", snap.InFlight)
	}
	if d.Attempt > 0 {
		line.Int("attempt", d.Attempt).Float64("cost", d.Cost)
	} else {
		line.Uint32("mark", ev.Mark).Bool("known", d.Known)
	}
	line.Str("reason", reasonNames[d.Reason]).Msg(actionNames[d.Action])
}

// age returns how long ago all that the store holds was known; 0 for never.
func (m *Marked) age(now time.Duration) time.Duration {
	asOf := time.Duration(m.counters.storeKnown.Load())
	if asOf == 0 {
		return 0
	}
	return now - asOf
}

// actionNames are the messages of lines about single flows.
var actionNames = map[lhflow.Action]string{
	lhflow.Drop:     "packet dropped",
	lhflow.ToServer: "flow to server",
	lhflow.Refuse:   "flow refused",
	lhflow.Reset:    "flow reset",
}
