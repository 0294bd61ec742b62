// Package lhwork decides whether a new unit of work is admitted, and which
// backend server it gets.
//
// A unit of work is a flow, or a request inside a flow where a carrier can show
// one. It belongs to a kind of work, which has a guaranteed share of its
// service's capacity and an urgency. Exactly one VM decides on each unit: the
// first owner of its ID. Units are spread evenly over the owners, so each VM
// enforces its part of every limit without asking the others; Part says how large
// that part is while VMs join, leave and are cut off.
//
// # Capacity
//
// Two things run out at a backend server: slots, which bound the work that is
// carried out at a time, and flows, which bound the connections that are held.
//
// A unit is in work from its opening until the server's first answer to the
// caller's data. The number of units in work is the server's queue as a VM sees
// it, whatever the server reports. A VM keeps its part of a small number of units
// in work per slot: enough to keep the slots busy, few enough that a unit waits
// for a short time only. The limit follows the answer times: it falls when they
// grow far beyond what the limit explains, and rises when units are refused although
// answers come quickly. Each reset, and each SYN without an answer, halves what
// its server gets; the server's part doubles again in a third of a second. Since
// the limit counts units and no rates, it needs no time to recover after a flood.
//
// Units that are half-open count as far as handshakes are completed of late. They
// have a limit of their own, within which each kind has its share and each prefix
// of callers a part, and they last a shorter time as the limit fills.
//
// # Kinds
//
// A kind within its share is admitted. What is left of the capacity is
// lent, and returned as fast as units finish: first to the more urgent kinds, and
// among equals in proportion to their shares. Flows that are held may last for
// hours, so room for flows is lent only beyond what the other kinds' shares
// still need.
//
// # Servers
//
// Choose takes the first server in weighted rendezvous order whose flows held and
// units in work stay close to the mean. Data centres get the parts of
// lhplace.Plan. A cold server starts with a small part of its weight.
//
// # Identities
//
// A unit may carry an identity. Its owner keeps the outcome of each identity for
// the time in which callers may retry; a VM answers "not known" where another one
// may have run the unit.
//
// # Memory
//
// What is known of a service is made when its first unit arrives, and let go once it
// holds no flow and has had no unit for a minute: its counters then begin anew.
//
// The package opens no socket, starts no goroutine and reads no clock. Each
// service has its own lock, and so has each shard of the identities.
package lhwork
