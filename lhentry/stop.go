package lhentry

import (
	"context"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhpeer"
)

// quietTime is how long no packet may have come for the VM to be done.
const quietTime = time.Second

// stop carries out a planned stop, within the bound of the settings and until
// kill ends. The health endpoint says at once that the VM leaves.
func (e *Entry) stop(kill context.Context) {
	e.leaving.Store(true)
	e.log.Info().Msg("leaving")
	ctx, cancel := context.WithTimeout(kill, e.settings.Stop)
	defer cancel()
	e.node.Leave()
	deadline := e.now() + e.settings.Stop/2
	await(ctx, func() bool {
		e.node.SetBudget(max(e.settings.ControlRate, e.needed(deadline)))
		return e.handedOver()
	})
	e.node.FinishLeave(ctx)
	e.awaitQuiet(ctx)
	e.log.Info().Msg("left")
}

// needed returns the bytes a second at which hand-over is complete by a deadline. A
// planned stop goes above the control budget rather than leave flows behind: after
// the next one, nobody would know them.
func (e *Entry) needed(deadline time.Duration) int {
	left := max(deadline-e.now(), time.Second)
	bytes := e.pending(e.engine.View()) * lhpeer.RecordBytes * lhpeer.MinHandOverDivisor
	return int(float64(bytes) / left.Seconds())
}

// handedOver reports whether the VM is seen as leaving and owes no member a record.
func (e *Entry) handedOver() bool {
	view := e.engine.HandoverView()
	self, ok := view.Member(view.Self)
	if !ok {
		return true
	}
	if self.State != lhflow.Leaving {
		return false
	}
	return e.pending(view) == 0
}

// awaitQuiet returns when no packet has come for quietTime, or when ctx ends.
func (e *Entry) awaitQuiet(ctx context.Context) {
	await(ctx, quiet(e.received, e.now))
}

// quiet returns a condition that holds once the number of packets received has stayed
// the same for quietTime.
func quiet(received func() uint64, now func() time.Duration) func() bool {
	last, since := received(), now()
	return func() bool {
		if n := received(); n != last {
			last, since = n, now()
		}
		return now()-since >= quietTime
	}
}

func (e *Entry) received() uint64 {
	var sum uint64
	for _, w := range e.workers {
		sum += w.counts[CountReceived].Load()
	}
	return sum
}

// await returns when the condition holds or ctx ends.
func await(ctx context.Context, condition func() bool) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}
