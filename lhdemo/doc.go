// Package lhdemo runs a whole fleet in one process, for people who want to see the
// balancer at work and for experiments with it.
//
// A Fleet is a group of entry VMs between stand-ins of everything around them: a
// platform, a fabric with its callers, and backend servers. The entry VMs are the
// ones of package lhentry, each with sockets of its own on loopback, so packets
// take the way that they take in a real fleet; only the processes are goroutines.
// Two things differ from a real fleet: a VM can't be killed, since it shares its
// process with the others, and all of them share the cores of one machine.
//
// A fleet is described by a Layout, and changes by the same means as a real one:
// a configuration is accepted through the platform's service and spreads over the
// VMs, and a VM stops as planned.
//
//	var fleet lhdemo.Fleet
//	err := fleet.Start(ctx, lhdemo.Layout{DataCentres: 3, VMs: 3, Services: 2, Servers: 4})
//	err = fleet.Drain(ctx, "service1-1")
//	err = fleet.Stop(ctx, "vm1")
//	err = fleet.Close()
//
// On top of it, RunDemo carries out one planned change after the other while flows
// are open, and an Experiment runs a pattern of load with faults and a schedule of
// events, and draws what happened.
package lhdemo
