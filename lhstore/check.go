package lhstore

import "github.com/laburnumhollow/laburnumhollow/lhconf"

// Check merges the files of a folder into a configuration, or says what is wrong
// with them.
type Check func(files map[string]string) (lhconf.Config, error)

// Assign gives the backend servers of next their numbers: those of previous to
// servers that it holds, and new ones to the others.
type Assign func(previous, next lhconf.Config) lhconf.Config
