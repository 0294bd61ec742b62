package lhentry

import (
	"context"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhmark"
	"github.com/laburnumhollow/laburnumhollow/lhspread"
)

// share sends an observation of a backend server to the other VMs of the data centre.
func (m *Marked) share(o lhmark.Observation) {
	m.spread.Share(lhspread.Observation{
		Server: o.Server, Evidence: uint8(o.Evidence), Failures: uint32(o.Failures), SeenAt: m.started.Add(o.At),
	})
}

// observe takes over the observations of other VMs and reviews those of this VM until ctx is
// done.
func (m *Marked) observe(ctx context.Context) error {
	review, stop := m.reviewTicks()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-review:
			m.review()
		case list := <-m.spread.Observations():
			for _, o := range list {
				m.applyObservation(o)
			}
		}
	}
}

// applyObservation takes over what another VM has observed of a backend server.
func (m *Marked) applyObservation(o lhspread.Observation) {
	observation := lhmark.Observation{
		Server: o.Server, Evidence: lhmark.Evidence(o.Evidence), Failures: int(o.Failures), At: o.SeenAt.Sub(m.started),
	}
	changed := m.engine.Observe(observation)
	server, known := m.engine.Table().Server(o.Server)
	if !changed || !known {
		return
	}
	m.flowLog.info().Str("server", server.Name).Str("evidence", observation.Evidence.String()).
		Uint32("failures", o.Failures).Dur("age", time.Since(o.SeenAt)).Msg("observation of another VM")
}
