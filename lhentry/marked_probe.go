package lhentry

import (
	"context"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhmark"
	"github.com/laburnumhollow/laburnumhollow/lhsock"
)

const (
	// probeTimeout is the timeout of an attempt to connect to a backend server: many times the
	// latency between data centres. A server counts as silent after probeAttempts, as a packet
	// may be lost.
	probeTimeout  = 250 * time.Millisecond
	probeAttempts = 2
	// maxProbes limits the probes in progress, and maxQueuedProbes those that wait. Further ones
	// are left out; the next retransmission asks again.
	maxProbes, maxQueuedProbes = 16, 64
)

// requestProbe queues a probe of a server, unless too many wait.
func (m *Marked) requestProbe(s *lhmark.Server) {
	select {
	case m.probes <- s:
	default:
	}
}

// probeServers probes servers until ctx is done.
func (m *Marked) probeServers(ctx context.Context) error {
	done := make(chan struct{})
	running := 0
	for {
		queue := m.probes
		if running == maxProbes {
			queue = nil
		}
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-done
			}
			return nil
		case <-done:
			running--
		case s := <-queue:
			running++
			go func() {
				m.probe(ctx, s)
				done <- struct{}{}
			}()
		}
	}
}

// probe finds out whether the host of a server answers. If it refuses connections, it answers
// the packets of the server's flows as well, and nothing is recorded.
func (m *Marked) probe(ctx context.Context, s *lhmark.Server) {
	began := m.now()
	m.counters.probes.Add(1)
	result := lhsock.Probe{Timeout: probeTimeout, Attempts: probeAttempts}.Do(ctx, s.Address)
	switch result {
	case lhsock.ProbeConnected, lhsock.ProbeSilent:
		m.engine.RecordProbe(began, s.Number, result == lhsock.ProbeConnected)
	}
	if result == lhsock.ProbeSilent {
		m.counters.probesFailed.Add(1)
		m.resetFlows(m.engine.TakeSilent(m.now(), s.Number), lhflow.ReasonSilent)
	}
	m.flowLog.info().Str("server", s.Name).Str("datacentre", s.DataCentre).Stringer("result", result).
		Dur("took", m.now()-began).Msg("backend server probed")
}
