// Package lhstand provides simulated components for what surrounds the load balancer:
// the network fabric with its callers, backend servers, and the platform's key-value
// service. They run on loopback, and only tests and package lhdemo use them.
//
// A Fabric sends each packet of its callers to a random entry VM, so that the
// packets of one flow reach all of them. A BackendServer sends its replies to a
// random entry VM. Both encapsulate packets in Geneve over UDP and share a minimal
// TCP implementation: endpoint is the state machine of one end of a connection,
// driven with an explicit time, and Conn adds blocking reads and writes. The window
// is fixed, and retransmission is go-back-N: after a timeout, the lost segment is
// sent again together with all that follow it.
//
//	var fabric lhstand.Fabric
//	err := fabric.Start(ctx, netip.MustParseAddrPort("127.0.1.1:0"))
//	fabric.SetMembers(entry1.Data(), entry2.Data())
//	conn, err := fabric.Dial(ctx, caller, service)
//	reply, err := lhstand.Request{ID: "order-7", Bytes: 5000}.Do(conn)
//
// An Outcome tells how a connection ended, in TCP's terms: a refused connection
// executed nothing, whereas the effect of a reset one is unknown.
//
// A component stops when the context passed to Start ends. It then sends its error,
// or nil, on the channel returned by Done.
package lhstand
