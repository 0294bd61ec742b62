// Package lhstand holds small stand-ins for what surrounds the balancer: the
// fabric with its callers, backend servers, and the platform's service. Tests and
// package lhdemo use them on loopback; nothing else does.
//
// A Fabric hands each packet of its callers to one of the entry VMs at random, so
// that the packets of one flow reach all of them. A BackendServer answers to any
// of the entry VMs. Both speak Geneve over UDP and share one small TCP: an
// endpoint is the state machine of one end of a connection, with time passed in,
// and a Conn is an endpoint that can be read and written. The window is fixed and
// a lost segment is sent again after a timeout together with all that follow it.
//
//	var fabric lhstand.Fabric
//	err := fabric.Start(ctx, netip.MustParseAddrPort("127.0.1.1:0"))
//	fabric.SetMembers(entry1.Data(), entry2.Data())
//	conn, err := fabric.Dial(ctx, caller, service)
//	reply, err := lhstand.Request{ID: "order-7", Bytes: 5000}.Do(conn)
//
// How a connection went is an Outcome in TCP's own words: a refused one ran
// nothing, of a reset one the outcome is not known.
//
// A stand-in stops with the context that it was started with, and then sends its
// first error, or nil, on the channel that Done returns.
package lhstand
