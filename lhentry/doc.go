// Package lhentry is the process that runs on every entry VM.
//
// An Entry receives Geneve packets on one UDP socket. Several workers read it, each
// through a handle of its own; each decodes a packet, asks the lhflow.Engine what
// to do and carries that out: it sends the inner packet to a backend server, to the
// fabric or to another member of the group, or it answers the sender. All decisions
// are made in lhflow, lhwork and lhplace; this package holds the sockets, the clock
// and the goroutines.
//
//	e, err := lhentry.New(settings, logger)
//	done := e.Run(ctx)
//	err = <-done
package lhentry
