// Package lhentry implements the process that runs on each entry VM.
//
// An Entry receives Geneve packets on one UDP socket. Several workers read from the
// socket, each through its own handle. A worker decodes a packet, passes it to the
// lhflow.Engine and executes the verdict: it sends the inner packet to a backend
// server, to the fabric or to another member of the group, or it replies to the
// sender. lhflow, lhwork and lhplace make all forwarding decisions; this package owns
// the sockets, the clock and the goroutines.
//
//	e, err := lhentry.New(settings, logger)
//	done := e.Run(ctx, kill)
//	err = <-done
package lhentry
