package lhstore

import "github.com/laburnumhollow/laburnumhollow/lhconf"

// Check merges the files of a folder into a configuration, or returns an error that
// describes their faults.
type Check func(files map[string]string) (lhconf.Config, error)

// AssignNumbers returns next with a number for each backend server: servers of previous
// keep theirs, and the others get new ones.
type AssignNumbers func(previous, next lhconf.Config) lhconf.Config
