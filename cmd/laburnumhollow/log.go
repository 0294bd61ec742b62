package main

import (
	"io"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

// setLogFormat sets the form of times in logs, once for the whole process.
func setLogFormat() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// newLogger returns the log of an entry process, one JSON object a line.
func newLogger(w io.Writer, level zerolog.Level, vm string) zerolog.Logger {
	return zerolog.New(w).Level(level).With().Timestamp().Str("vm", vm).Logger()
}

const (
	// heldLines is how many lines wait for a slow reader of the log.
	heldLines = 1000
	// writePeriod is the time after which waiting lines are written.
	writePeriod = 50 * time.Millisecond
)

// newSteadyWriter returns a writer that never waits for w: lines beyond those held
// are dropped and counted in a line of their own. flush writes what is held.
func newSteadyWriter(w io.Writer) (out io.Writer, flush func()) {
	d := diode.NewWriter(w, heldLines, writePeriod, func(missed int) {
		l := newLogger(w, zerolog.WarnLevel, "")
		l.Warn().Int("lines", missed).Msg("lines dropped for a slow reader")
	})
	return d, func() { _ = d.Close() }
}
