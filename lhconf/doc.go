// Package lhconf reads and validates what operators declare: the settings of one
// process and the configuration of all VMs.
//
// Settings belong to one VM. A process reads them from an INI file when it starts
// and keeps them unchanged while it runs:
//
//	settings, err := lhconf.ReadSettings("sapporo-a-1.ini")
//
// MarkedSettings are those of a process for marked flows, which can reload some of
// them while it runs.
//
// A configuration is read from a folder of small INI files that are merged in
// the order of their names, so that each team can maintain its own file. It
// declares services, their backend servers and the kinds of work that share the
// capacity of a service. A Config is immutable after it has been built.
//
//	files, err := lhconf.ReadFolder("examples/kiritori")
//	config, origins, problems := lhconf.Merge(files)
//
// Parsing does not stop at the first error. It collects Problems, each with its
// file, line and key, the allowed values and a result code, so that an operator can
// correct a folder in one pass. Input with any Problem is rejected as a whole.
// Validate makes the same checks on a Config that did not come from files.
//
// A process that checks successive revisions uses a Merger, which parses only the
// changed files and those that share a section with them.
//
// When a configuration is accepted, AssignNumbers gives each backend server a number.
// The number permanently identifies one server at one address behind one service and
// is never reused, so a VM with an older configuration detects a number that it
// doesn't know.
package lhconf
