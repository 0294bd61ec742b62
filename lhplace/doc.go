// Package lhplace turns an accepted configuration into the tables that packets
// are looked up in, and ranks the backend servers of a service for a new flow.
//
// A Table is built once per revision and never changed, so that any number of
// threads may read it without a lock; a VM swaps the whole table when a revision
// comes into force. Every VM derives the same table from the same revision. A
// record of a flow holds the number of a server and not its address: the number
// is looked up in the table at the moment of sending, and an address that has
// been given to another service has another number, so none of the flow's
// packets can reach it.
//
// Kinds of work are numbered by a hash of their names, so that a kind keeps its
// number in the records of open flows when other kinds are declared or removed.
//
// Which server a flow gets is decided in two steps. Plan says what part of its
// new flows a VM sends to each data centre, from the numbers of VMs and servers
// in each. Score orders the servers by weighted rendezvous hashing, where each
// server counts with its part of the plan; package lhwork takes the first in
// this order that has room.
package lhplace
