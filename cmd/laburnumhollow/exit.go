package main

import "github.com/laburnumhollow/laburnumhollow/lhcode"

// Exit codes of the command line.
const (
	exitOK             = 0
	exitError          = 1
	exitUsage          = 2
	exitConflict       = 3
	exitUnavailable    = 4
	exitOutcomeUnknown = 5
)

// exitCode maps a result code to an exit code.
func exitCode(c lhcode.Code) int {
	switch c {
	case lhcode.OK:
		return exitOK
	case lhcode.Usage:
		return exitUsage
	case lhcode.Conflict, lhcode.PreconditionFailed:
		return exitConflict
	case lhcode.StoreUnavailable, lhcode.Unreachable:
		return exitUnavailable
	case lhcode.OutcomeUnknown:
		return exitOutcomeUnknown
	}
	return exitError
}
