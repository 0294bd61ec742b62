// Package lhflow decides what happens to each packet of a flow.
//
// A flow is a TCP connection or a UDP 5-tuple. Any VM of a group may see any of
// its packets, so two VMs of the group own each flow: the first and the second
// of the members in rendezvous order of the flow's ID. The first owner places a
// new flow; the packet that opens it then passes through the second owner on its
// way to the backend server, which leaves a copy of the record there at no cost
// in control traffic. A VM without a record passes a packet on to the owner. For
// flows that prove long, the owner returns the packet together with the record,
// which the other VM may then use for the time of a lease.
//
// The package opens no socket, starts no goroutine and reads no clock: a caller
// hands in an Event with the time and carries out the Verdict that comes back.
package lhflow
