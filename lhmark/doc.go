// Package lhmark routes packets by a mark that both ends of a flow return.
//
// On some networks a packet has a field that both ends of a flow copy into their
// next packets. A VM writes the number of the flow's backend server there. The
// mark of each later packet then identifies its server at any VM, even after
// configuration or membership changes: a flow needs no owner, no hand-over and no
// agreement between VMs. Backend servers answer callers directly, so a VM receives
// only the packets of callers.
//
// A Directory collects the backend servers and the configuration from the
// platform's store and builds a Table, which is immutable. An Engine decides on
// each packet with the current Table:
//
//   - A SYN opens a new flow: the route divides new flows over services, and a few of
//     the service's servers are compared by the statistics that this VM has of them
//     (choose.go, pool.go, server_stats.go).
//     If it is asked for, how fast servers answer all VMs of the data centre counts as well
//     (speed.go, speeds.go), and decides when flows leave their data centre (leave.go).
//   - A retransmitted SYN goes to another server. The first one has not answered,
//     and a flow is open only at the server whose answer the caller acknowledges.
//   - Any later packet goes to the server in the VM's record of the flow or, if it
//     has none of that flow, to that of the mark. Records only serve measurement, so that
//     losing one costs an estimate and not the flow.
//   - The least urgent work is throttled while its service has more in progress than
//     it can finish in time: its packets are dropped, and the callers retransmit
//     them, or its SYNs are refused if retransmissions would be in vain (admission.go).
//   - An open flow is reset only once its server is known to have ended, or a probe has shown
//     that it is gone (silence.go). A server that answers nothing may be full or busy, and gets
//     no new flows for some time. What a VM
//     observes of servers is shared with the VMs of its data centre, since each of them opens
//     few flows at any one server (observation.go).
//   - While operators evacuate a data centre its servers get no new flow and keep their open
//     ones; a SYN that no other server can take is refused if nothing can have run
//     (evacuation.go).
//   - A server that has started or answers again gets few new flows at first, and no more
//     than is declared, where settings ask for it (warmup.go, cold_limit.go, package lhpace).
//
// The package opens no socket, starts no goroutine and reads no clock.
//
//	engine := lhmark.NewEngine("dc-1", lhmark.Limits{})
//	engine.SetTable(now, directory.Table(now))
//	decision := engine.Handle(&event)
package lhmark
