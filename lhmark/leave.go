package lhmark

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// minRemoteAnswers is the number of recent answers from another data centre below which
	// only every trialShare-th flow that would leave goes there.
	minRemoteAnswers, trialShare = 16, 8
	// leaveFraction is the fraction of the latency target up to which the expected time
	// may grow before flows leave their data centre: the time of single requests is about
	// twice the mean. It is also the fraction of the local time that a remote server must
	// not exceed, which keeps flows from going back and forth.
	leaveFraction = 0.5
)

// preferRemote reports whether a new flow goes to a server of another data centre instead
// of the best local one.
func (e *Engine) preferRemote(id lhflow.ID, local, remote *candidate) bool {
	v := e.speeds.service(remote.server.Service)
	if v == nil || v.tightness == 0 {
		remote.cost *= remoteCostFactor
		return local.server == nil || remote.cost < local.cost
	}
	if local.server == nil {
		return true
	}
	// The times are fractions of the latency target. A request that is shed takes about all
	// of it.
	localTime := float64(local.expected)*v.tightness + float64(local.quickShare)
	known := v.dataCentres[remote.server.DataCentre]
	remoteTime := max(float64(remote.expected), known.slowness())*v.tightness + max(float64(remote.quickShare), known.quickShare()) +
		float64(e.speeds.distance(e.dataCentre, remote.server.DataCentre))/float64(v.target)
	if localTime < leaveFraction || remoteTime > leaveFraction*localTime {
		return false
	}
	return known.answers >= minRemoteAnswers || lhflow.Rank(id, trialSalt)%trialShare == 0
}

// trialSalt makes the flows that try another data centre independent of other ranks.
const trialSalt = 0x747269616c

// distance returns by how much handshakes with servers of another data centre take longer.
func (s *speeds) distance(from, to string) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	local, ok := s.handshakes[from]
	if !ok {
		return 0
	}
	return max(s.handshakes[to]-local, 0)
}
