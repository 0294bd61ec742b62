// Package lhconf holds what operators declare: the settings of one process, and
// the configuration of the fleet.
//
// A configuration is read from a folder of small INI files that are merged in
// the order of their names, so that each team can keep its own file. It names
// services, the backend servers behind them and the kinds of work that share
// them. A Config is a value: it is never changed after it has been built.
package lhconf
