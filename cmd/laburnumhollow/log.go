package main

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// setLogTimeFormat sets the time format of log lines, which zerolog keeps in a global
// variable.
func setLogTimeFormat() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// newLogger returns a logger for an entry process that writes one JSON object per line.
func newLogger(w io.Writer, level zerolog.Level, vm string) zerolog.Logger {
	return zerolog.New(w).Level(level).With().Timestamp().Str("vm", vm).Logger()
}

const (
	// maxBufferedLines is the number of log lines buffered for a slow reader.
	maxBufferedLines = 1000
	// bufferPollInterval is how often buffered lines are written.
	bufferPollInterval = 50 * time.Millisecond
)

// newNonBlockingWriter returns a buffered writer that never blocks on w. When the
// buffer is full, lines are dropped and a log line reports how many. flush writes the
// buffered lines.
func newNonBlockingWriter(w io.Writer) (out io.Writer, flush func()) {
	d := diode.NewWriter(w, maxBufferedLines, bufferPollInterval, func(dropped int) {
		l := newLogger(w, zerolog.WarnLevel, "")
		l.Warn().Int("lines", dropped).Msg("lines dropped for a slow reader")
	})
	return d, func() { _ = d.Close() }
}
