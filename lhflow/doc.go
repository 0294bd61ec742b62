// Package lhflow decides what happens to each packet of a flow.
//
// A flow is a TCP connection or a UDP 5-tuple. Any VM of a group may see any of
// its packets, so two VMs of the group own each flow: the first member in
// rendezvous order of the flow's ID, and the next of another data centre. The first
// owner places a new flow. The packet that opens it then passes through the second
// owner on its way to the backend server and leaves a copy of the record there, at
// no cost in control traffic; so do the one that completes the handshake and the
// server's first answer.
//
// A VM without a record passes a packet on to the first owner. For flows that are
// quick enough the owner returns the packet together with the record, which the
// other VM may then use for the time of a lease. An owner that has lost a record
// asks the other members for it; where nobody knows the flow it comes to a defined
// end.
//
// When the members change, each record is handed over to the members that will own
// it and lack it. Pending, Take and Receive carry that out at the caller's pace.
//
// The package opens no socket, starts no goroutine and reads no clock: a caller
// hands in an Event with the time and carries out the Verdict that comes back.
//
//	e := lhflow.NewEngine(self, placer, lhflow.Limits{})
//	e.SetView(now, view)
//	switch v := e.Handle(event); v.Action {
//	case lhflow.ToServer: // send the packet to v.Server
//	case lhflow.ToPeer: // pass it on to v.Peer, together with v.Relay
//	}
package lhflow
