// Package lhdemo runs a complete fleet in one process, for demonstrations of the
// load balancer and for experiments with it.
//
// A Fleet is a group of entry VMs in a simulated environment of a platform, a
// fabric with callers, and backend servers. The entry VMs are those of package
// lhentry. Each has sockets of its own on loopback, so packets take the same path
// as in a real fleet, but the VMs run as goroutines instead of processes. This
// causes two differences: a VM can't be killed, since it shares its process with
// the others, and all VMs share the cores of one machine.
//
// A Layout describes a fleet. A fleet is changed by the same means as a real one: a
// configuration is accepted through the platform's service and propagates to the
// VMs, and a VM is stopped gracefully.
//
//	var fleet lhdemo.Fleet
//	err := fleet.Start(ctx, lhdemo.Layout{DataCentres: 3, VMs: 3, Services: 2, Servers: 4})
//	err = fleet.Drain(ctx, "service1-1")
//	err = fleet.Stop(ctx, "vm1")
//	err = fleet.Close()
//
// RunDemo performs a series of planned changes while flows are open. An Experiment
// runs a load pattern with fault injection and scheduled events, and reports the
// result as text and charts.
package lhdemo
