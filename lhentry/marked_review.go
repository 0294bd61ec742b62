package lhentry

import (
	"net/netip"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhmark"
)

// reviewTicks returns a channel that receives when the VM's observations are due for review,
// and a function that releases it. The channel is nil if the settings select no detection.
func (m *Marked) reviewTicks() (<-chan time.Time, func()) {
	s := m.settings.Load()
	m.log.Info().Bool("evidence", s.Evidence).Bool("domains", s.Domains).Msg("detection of failed servers")
	if !s.Evidence && !s.Domains {
		return nil, func() {}
	}
	ticker := time.NewTicker(lhmark.ReviewInterval)
	return ticker.C, ticker.Stop
}

// review shares and logs what the VM has found out about backend servers since the last review.
func (m *Marked) review() {
	r := m.engine.Review(m.now())
	m.counters.overdue.Add(uint64(len(r.Overdue)))
	m.counters.unfollowed.Add(uint64(len(r.Unfollowed)))
	for _, o := range r.Overdue {
		m.share(o)
	}
	for _, u := range r.Unfollowed {
		m.share(u.Observed)
		m.flowLog.warn().Str("server", u.Server.Name).Str("datacentre", u.Server.DataCentre).Int("failures", u.Failures).
			Stringer("caller", u.Key.CallerAddr()).Uint32("seq", u.Seq).Msg("nothing followed a SYN")
	}
	for _, d := range r.Domains {
		if d.Suspect {
			m.counters.domainsSuspected.Add(1)
			m.log.Warn().Str("service", d.Service).Str("datacentre", d.DataCentre).Int("failed", d.Failed).Msg("data centre suspected")
			continue
		}
		m.log.Info().Str("service", d.Service).Str("datacentre", d.DataCentre).Msg("data centre answers again")
	}
}

// resetEnded resets flows with a request in progress whose servers have ended.
func (m *Marked) resetEnded() { m.resetFlows(m.engine.TakeEnded(m.now()), lhflow.ReasonServerGone) }

// resetFlows resets flows towards their callers without a packet of theirs.
func (m *Marked) resetFlows(flows []lhflow.Event, reason lhflow.Reason) {
	var buf []byte
	for _, ev := range flows {
		buf = m.deps.Codec.AppendReset(buf[:0], &ev)
		m.sendFrom(buf, netip.AddrPortFrom(ev.Key.CallerAddr().Addr(), m.Data().Port()))
		m.counters.actions[lhflow.Reset].Add(1)
		m.counters.reasons[reason].Add(1)
		line := m.flowLog.warn().Stringer("caller", ev.Key.CallerAddr()).Stringer("to", ev.Key.ServiceAddr()).Uint32("seq", ev.Seq)
		if server, ok := m.engine.Table().Server(ev.Mark); ok {
			line.Str("server", server.Name).Str("datacentre", server.DataCentre)
		}
		line.Uint32("mark", ev.Mark).Bool("known", true).Str("reason", reasonNames[reason]).Msg(actionMessages[lhflow.Reset])
	}
}
