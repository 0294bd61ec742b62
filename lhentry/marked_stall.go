package lhentry

import (
	"context"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhmark"
)

// watchStalls notices while no SYN arrives that the process stood still. SYNs that wait for the
// first configuration are kept, however long that takes.
func (m *Marked) watchStalls(ctx context.Context) error {
	m.awaitConfig(ctx)
	return every(ctx, lhmark.StallCheckInterval, func() {
		stood, _ := m.stalls.Observe(m.deps.BootTime())
		m.logStall(stood)
	})
}

// decide returns the decision on a packet. A SYN that may have waited while the process stood
// still is dropped: its caller repeats it unless the attempt has ended or the flow has opened
// elsewhere. Other packets carry a mark and don't depend on when they arrive.
func (m *Marked) decide(ev *lhflow.Event) lhmark.Decision {
	if ev.Flags.Has(lhflow.SYN) {
		stood, waited := m.stalls.Observe(m.deps.BootTime())
		m.logStall(stood)
		if waited {
			return lhmark.Decision{Verdict: lhflow.Verdict{Reason: lhflow.ReasonStale}}
		}
	}
	return m.engine.Handle(ev)
}

// drainAfterStall looks whether all packets have been read that waited in the socket during a
// stall. It is called by the goroutine that reads the socket.
func (m *Marked) drainAfterStall() {
	if !m.stalls.Draining() {
		return
	}
	at := m.deps.BootTime()
	// If the socket can't be looked at, the time decides.
	if waiting, err := m.socket.Waiting(); err == nil && !waiting {
		m.stalls.Drained(at)
	}
}

func (m *Marked) logStall(stood time.Duration) {
	if stood == 0 {
		return
	}
	m.engine.StoodStill(stood)
	m.counters.stalls.Add(1)
	m.log.Warn().Dur("stood", stood).Msg("process stood still; SYNs that waited are dropped")
}
