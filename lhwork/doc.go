// Package lhwork decides whether a new unit of work is admitted, and selects its
// backend server.
//
// A unit of work is a flow, or a request within a flow where the protocol that
// carries it exposes requests. It belongs to a kind of work, which has a guaranteed
// share of its service's capacity and an urgency. Exactly one VM decides on each
// unit: the first owner of its ID. Units are distributed evenly over the owners, so
// each VM enforces its fraction of every limit without coordination. LimitFraction
// computes that fraction while VMs join, leave and become unreachable.
//
// # Capacity
//
// A backend server has two limited resources: slots, which bound the units that it
// processes concurrently, and flows, which bound its open connections.
//
// A unit is in flight from its opening until the server's first answer to the
// caller's data. The number of units in flight is the server's queue as a VM
// observes it, independent of what the server reports. A VM admits its fraction of
// a small number of units in flight per slot: enough to keep the slots busy, few
// enough to keep queueing delays short. This concurrency limit adapts to latency: it
// decreases when latency grows far beyond what the limit explains, and increases when
// units are refused although latency is low. Each reset, and each SYN without an
// answer, halves the weight of its server, which doubles again in a third of a
// second. Since the limit applies to concurrency and not to rates, it needs no time
// to recover after a flood.
//
// Half-open flows count as in flight, scaled by the recent handshake completion
// rate. They have a limit of their own, of which each kind has its share and each
// prefix of caller addresses a fraction, and their timeout decreases as the limit
// is approached.
//
// # Kinds
//
// A kind within its share is admitted. Unused capacity is lent, and reclaimed as
// units finish: first by the more urgent kinds, and among kinds of the same urgency
// in proportion to their shares. Since flows can stay open for hours, room for flows
// is lent only beyond what the other kinds' shares still need.
//
// # Servers
//
// Choose returns the first server in weighted rendezvous order whose open flows and
// units in flight are close to the mean. Traffic is divided among data centres by
// lhplace.Plan. A server in slow start begins with a small fraction of its weight,
// which grows with time, or follows its answers where settings ask for it (package lhpace).
//
// # Idempotency keys
//
// A unit may carry an idempotency key. Its owner stores the outcome of each key for
// the time in which callers may retry; a VM answers "not known" where another VM may
// have run the unit.
//
// # Memory
//
// The state of a service is allocated when its first unit arrives, and released once
// it holds no flow and has received no unit for a minute. Its counters then restart
// at zero.
//
// The package opens no socket, starts no goroutine and reads no clock. Each service
// has its own lock, and so has each shard of the idempotency keys.
package lhwork
