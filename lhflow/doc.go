// Package lhflow decides how each packet of a flow is forwarded.
//
// A flow is a TCP connection or a UDP 5-tuple. Any VM of a group may receive any of
// its packets, so each flow has two owners in the group: the first member in
// rendezvous order of the flow's ID, and the next member in another data centre. The
// first owner chooses the backend server of a new flow. It forwards the first packet
// through the second owner, which stores a copy of the record, so this replication
// costs no control traffic. The packet that completes the handshake and the server's
// first response take the same path.
//
// A VM without a record forwards the packet to the first owner. For a flow with a
// high packet rate the owner returns the packet together with the record, which the
// other VM may then use until a lease expires. An owner that has lost a record
// queries the other members for it. Packets of a flow that no member knows are
// dropped or answered with a reset.
//
// When the membership changes, each record is handed over to those of its new owners
// that lack it. Pending, TakePending and Receive do this at a rate that the caller
// sets.
//
// The package opens no socket, starts no goroutine and reads no clock: the caller
// passes an Event with the current time and carries out the Verdict that is returned.
//
//	e := lhflow.NewEngine(self, placer, lhflow.Limits{})
//	e.SetView(now, view)
//	switch v := e.Handle(event); v.Action {
//	case lhflow.ToServer: // send the packet to v.Server
//	case lhflow.ToPeer: // relay it to v.Peer with v.Relay
//	}
package lhflow
