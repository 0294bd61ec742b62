package lhentry

import (
	"github.com/laburnumhollow/laburnumhollow/lhmark"
	"github.com/laburnumhollow/laburnumhollow/lhpace"
)

// shareWarmup tells the engine among which VMs declared limits of cold servers are divided.
// The caller holds m.mu.
func (m *Marked) shareWarmup() {
	members := make([]lhpace.Member, 0, len(m.members))
	for _, v := range m.members {
		members = append(members, lhpace.Member{Name: v.Name, DataCentre: v.DataCentre})
	}
	m.engine.SetMembers(m.now(), members)
}

// logPace logs that the pace of a server begins or is full.
func (m *Marked) logPace(ev lhmark.WarmupEvent) {
	line := m.flowLog.info().Str("server", ev.Server.Name).Str("datacentre", ev.Server.DataCentre)
	if ev.Cause == "" {
		m.counters.pacesFull.Add(1)
		line.Msg("pace of backend server is full")
		return
	}
	m.counters.pacesBegun.Add(1)
	line.Str("cause", ev.Cause).Dur("warmup", ev.Server.Warmup).Msg("pace of backend server begins")
}

// limitedServices returns the number of services that declare what a cold server bears.
func limitedServices(cfg lhmark.Config) int {
	count := 0
	for _, o := range cfg.Services {
		if o.WarmupPerSecond > 0 {
			count++
		}
	}
	return count
}
