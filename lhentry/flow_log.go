package lhentry

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// flowLog logs lines about single flows, at a limited rate.
type flowLog struct {
	log zerolog.Logger
	// limiter allows bursts of up to one second's worth of lines.
	limiter *rate.Limiter
	// omitted counts the suppressed lines, reported those already logged by logOmitted.
	omitted  *atomic.Uint64
	reported uint64
}

func newFlowLog(log zerolog.Logger, perSecond int) flowLog {
	return flowLog{log: log, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), omitted: new(atomic.Uint64)}
}

// setRate changes the maximum number of lines per second.
func (l *flowLog) setRate(perSecond int) {
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(perSecond)
}

// info returns an event at level info, or nil if the rate limit is exceeded.
func (l *flowLog) info() *zerolog.Event { return l.event(l.log.Info) }

// warn returns an event at level warn, or nil if the rate limit is exceeded.
func (l *flowLog) warn() *zerolog.Event { return l.event(l.log.Warn) }

func (l *flowLog) event(level func() *zerolog.Event) *zerolog.Event {
	if !l.limiter.AllowN(time.Now(), 1) {
		l.omitted.Add(1)
		return nil
	}
	return level()
}

// logOmitted logs how many lines were suppressed since its last call.
func (l *flowLog) logOmitted() {
	n := l.omitted.Load()
	if n == l.reported {
		return
	}
	l.log.Warn().Uint64("lines", n-l.reported).Msg("lines about flows omitted")
	l.reported = n
}
