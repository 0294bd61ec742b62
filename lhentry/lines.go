package lhentry

import (
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"
)

// lines writes log lines about single flows, so many a second at most.
type lines struct {
	log zerolog.Logger
	// limiter gives a second's worth of lines at once.
	limiter *rate.Limiter
	// omitted counts the lines that were left out, told those that report has logged.
	omitted *atomic.Uint64
	told    uint64
}

func newLines(log zerolog.Logger, perSecond int) lines {
	return lines{log: log, limiter: rate.NewLimiter(rate.Limit(perSecond), perSecond), omitted: new(atomic.Uint64)}
}

// limit changes how many lines a second are written.
func (l *lines) limit(perSecond int) {
	l.limiter.SetLimit(rate.Limit(perSecond))
	l.limiter.SetBurst(perSecond)
}

// info returns a line, or nil where there is no room for one.
func (l *lines) info() *zerolog.Event { return l.line(l.log.Info) }

// warn returns a line about something out of the ordinary, or nil.
func (l *lines) warn() *zerolog.Event { return l.line(l.log.Warn) }

func (l *lines) line(level func() *zerolog.Event) *zerolog.Event {
	if !l.limiter.AllowN(time.Now(), 1) {
		l.omitted.Add(1)
		return nil
	}
	return level()
}

// report logs how many lines were left out since the last report.
func (l *lines) report() {
	n := l.omitted.Load()
	if n == l.told {
		return
	}
	l.log.Warn().Uint64("lines", n-l.told).Msg("lines about flows omitted")
	l.told = n
}
