package main

import (
	"io"
	"time"

	"github.com/rs/zerolog"
)

// newLogger returns the log of an entry process, one JSON object a line.
func newLogger(w io.Writer, level zerolog.Level, vm string) zerolog.Logger {
	zerolog.TimeFieldFormat = time.RFC3339Nano
	return zerolog.New(w).Level(level).With().Timestamp().Str("vm", vm).Logger()
}
