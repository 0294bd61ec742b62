package main

import "github.com/laburnumhollow/laburnumhollow/lhcode"

// The exit codes of the command line.
const (
	exitDone        = 0
	exitFault       = 1
	exitUsage       = 2
	exitConflict    = 3
	exitUnavailable = 4
	exitUnknown     = 5
)

// exitCode returns the exit code that a result code leads to.
func exitCode(c lhcode.Code) int {
	switch c {
	case lhcode.OK:
		return exitDone
	case lhcode.Usage:
		return exitUsage
	case lhcode.Conflict, lhcode.PreconditionFailed:
		return exitConflict
	case lhcode.StoreUnavailable, lhcode.Unreachable:
		return exitUnavailable
	case lhcode.OutcomeUnknown:
		return exitUnknown
	}
	return exitFault
}
