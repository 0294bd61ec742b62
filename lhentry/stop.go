package lhentry

import (
	"context"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer"
)

// quietPeriod is how long no packet may arrive before a leaving VM stops.
const quietPeriod = time.Second

// stop performs a planned stop, for up to the time in the settings or until kill is
// done. The health endpoint reports immediately that the VM is leaving.
func (e *Entry) stop(kill context.Context) {
	e.leaving.Store(true)
	e.log.Info().Msg("leaving")
	ctx, cancel := context.WithTimeout(kill, e.settings.Stop)
	defer cancel()
	e.node.Leave()
	deadline := e.now() + e.settings.Stop/2
	waitUntil(ctx, func() bool {
		e.node.SetBudget(max(e.settings.ControlRate, e.requiredBudget(deadline)))
		return e.handOverComplete()
	})
	e.node.FinishLeave(ctx)
	e.waitUntilQuiet(ctx)
	e.log.Info().Msg("left")
}

// requiredBudget returns the control traffic in bytes per second that completes the
// hand-over by a deadline. A planned stop may exceed the control budget because records
// that are not handed over would be lost after the next planned stop.
func (e *Entry) requiredBudget(deadline time.Duration) int {
	remaining := max(deadline-e.now(), time.Second)
	bytes := e.pending(e.engine.View()) * lhpeer.RecordBytes * lhpeer.MinHandOverDivisor
	return int(float64(bytes) / remaining.Seconds())
}

// handOverComplete reports whether the VM is leaving in its own view and no records are
// left to hand over, or it is no longer in the view.
func (e *Entry) handOverComplete() bool {
	view := e.engine.HandOverView()
	self, ok := view.Member(view.Self)
	if !ok {
		return true
	}
	if self.State != lhflow.Leaving {
		return false
	}
	return e.pending(view) == 0
}

// waitUntilQuiet waits until no packet has arrived for quietPeriod or ctx is done.
func (e *Entry) waitUntilQuiet(ctx context.Context) {
	waitUntil(ctx, quietCondition(e.receivedPackets, e.now))
}

// quietCondition returns a condition that holds once the number of received packets
// has not changed for quietPeriod.
func quietCondition(packets func() uint64, now func() time.Duration) func() bool {
	lastCount, unchangedSince := packets(), now()
	return func() bool {
		if n := packets(); n != lastCount {
			lastCount, unchangedSince = n, now()
		}
		return now()-unchangedSince >= quietPeriod
	}
}

func (e *Entry) receivedPackets() uint64 {
	var sum uint64
	for _, w := range e.workers {
		sum += w.counts[CountReceived].Load()
	}
	return sum
}

// waitUntil waits until the condition holds or ctx is done.
func waitUntil(ctx context.Context, condition func() bool) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
