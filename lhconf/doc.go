// Package lhconf holds what operators declare: the settings of one process, and
// the configuration of the fleet.
//
// Settings belong to one VM. They come from one INI file when the process starts
// and never change while it runs:
//
//	settings, err := lhconf.ReadSettings("sapporo-a-1.ini")
//
// A configuration is read from a folder of small INI files that are merged in
// the order of their names, so that each team can keep its own file. It names
// services, the backend servers behind them and the kinds of work that share
// them. A Config is a value: it is never changed after it has been built.
//
//	files, err := lhconf.ReadFolder("examples/kiritori")
//	config, origins, problems := lhconf.Merge(files)
//
// Reading stops at no fault. It gathers Problems, each with the file, line and key
// it concerns, what is allowed there and a result code, so that an operator can
// mend a folder in one go; what has any Problem is not used at all. Validate makes
// the same checks on a Config that did not come from files.
//
// A process that sees one revision after the other checks them with a Merger, which
// reads only the files that have changed.
//
// When a configuration is accepted, Assign numbers its backend servers. A number
// stands for one server at one address behind one service for ever, which is what
// lets a VM with an older configuration see that a number is not its own.
package lhconf
