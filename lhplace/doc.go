// Package lhplace builds packet lookup tables from an accepted configuration and
// ranks the backend servers of a service for a new flow.
//
// A Table is built once per revision and is immutable, so that any number of
// threads can read it without a lock; a VM replaces the whole table when a revision
// takes effect. Every VM derives the same table from the same revision. A flow
// record holds the number of a server and not its address. The number is looked up
// in the table when a packet is sent. A server at an address that has been assigned
// to another service has another number, so none of the flow's packets can reach it.
//
// Kinds of work are numbered by a hash of their names, so that a kind keeps its
// number in the records of open flows when other kinds are declared or removed.
//
// The server of a flow is selected in two steps. Plan determines the fraction of its
// new flows that a VM sends to each data centre, from the numbers of VMs and servers
// in each. Score ranks the servers by weighted rendezvous hashing, with weights
// scaled by the plan; package lhwork takes the first server in this order that has
// capacity.
package lhplace
