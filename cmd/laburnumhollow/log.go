package main

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// setLogFormat sets the form of times in logs, once for the whole process.
func setLogFormat() { zerolog.TimeFieldFormat = time.RFC3339Nano }

// newLogger returns the log of an entry process, one JSON object a line.
func newLogger(w io.Writer, level zerolog.Level, vm string) zerolog.Logger {
	return zerolog.New(w).Level(level).With().Timestamp().Str("vm", vm).Logger()
}
