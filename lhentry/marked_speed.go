package lhentry

import (
	"context"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhmark"
	"github.com/laburnumhollow/laburnumhollow/lhspread"
)

// speedInterval is the time between two comparisons of the speeds of servers.
const speedInterval = time.Second

// tallySource returns the function that tells other VMs how fast servers have answered, or nil
// if the settings don't ask for it.
func (m *Marked) tallySource() func() []lhspread.Tally {
	if !m.settings.Load().Speeds {
		return nil
	}
	began := m.started
	return func() []lhspread.Tally {
		var list []lhspread.Tally
		for _, t := range m.engine.TakeTallies() {
			list = append(list, lhspread.Tally{Server: t.Server, Answers: t.Answers, Time: t.Time, Quick: t.Quick, BeganAt: began})
		}
		began = time.Now()
		return list
	}
}

// followSpeeds takes over the tallies of other VMs and compares the servers until ctx is done.
func (m *Marked) followSpeeds(ctx context.Context) error {
	if !m.settings.Load().Speeds {
		<-ctx.Done()
		return nil
	}
	ticker := time.NewTicker(speedInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case list := <-m.spread.Digests():
			for _, t := range list {
				m.engine.AddTally(m.now(), t.BeganAt.Sub(m.started), lhmark.SpeedTally{Server: t.Server, Answers: t.Answers, Time: t.Time, Quick: t.Quick})
			}
		case <-ticker.C:
			m.logSpeeds(m.engine.RefreshSpeeds(m.now()))
		}
	}
}

// logSpeeds logs what a comparison has changed.
func (m *Marked) logSpeeds(r lhmark.SpeedReport) {
	for _, name := range r.Uneven {
		m.log.Info().Str("service", name).Msg("backend servers differ in speed")
	}
	for _, name := range r.Even {
		m.log.Info().Str("service", name).Msg("backend servers no longer differ in speed")
	}
	for _, c := range r.Servers {
		m.counters.speedChanges.Add(1)
		m.flowLog.info().Str("server", c.Server.Name).Str("service", c.Server.Service).Str("datacentre", c.Server.DataCentre).
			Stringer("speed", c.Class).Float64("slowness", c.Slowness).Float64("quick", c.QuickShare).Float64("answers", c.Answers).
			Msg("speed of a backend server")
	}
}
