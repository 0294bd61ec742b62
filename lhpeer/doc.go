// Package lhpeer maintains the membership of a group of VMs and carries the
// control traffic between them. Failure detection follows SWIM: periodic pings,
// indirect probes, and suspicions that the suspected member can refute.
//
// Each run of the process on a VM is a member with its own ID. Only the member
// itself advances its state, from joining through active and leaving to gone;
// other members may only add a suspicion. Once per period a member exchanges
// messages with one other member. A member that does not answer is probed through
// two more members and then suspected. A suspected member that learns of the
// suspicion refutes it with a higher refutation number. A suspicion that stands
// for Timing.Suspect makes the member unreachable: it owns no flows in this VM's
// view, but it keeps its identity and returns by refuting the suspicion, for
// example when a network partition between data centres heals. An unreachable
// member is declared dead, and its ID is never accepted again, only if the rest of
// its data centre answers and this VM still reaches a majority of the group. A
// process that was frozen in the meantime learns of this and rejoins under a new
// ID.
//
// Suspicions are shared, but each member decides for itself when one has stood for
// too long. Views therefore differ temporarily in normal operation.
//
// A joining member owns no flows until its view matches that of the group and each
// active member has reported that its hand-over is complete. A leaving member owns
// its flows until it has handed them over.
//
// The same exchange carries membership changes, the revision of the configuration
// in force and the hand-over status. An urgent change is sent to a few members
// immediately instead of in the next period.
//
// Membership makes all of these decisions without I/O; the caller passes in time
// and randomness:
//
//	m := lhpeer.Join(now, self, contacts, timing, rng)
//	for _, r := range m.Tick(now) { // send r.Message to r.Control
//	}
//	reply, probe := m.Receive(now, message)
//	m.HandleResponse(now, request, reply) // or send what m.HandleFailure(now, request) returns
//	view := m.View()
//
// Node exchanges the messages between the members of a group with connect-go over
// HTTP/2, hands over records and counts each byte that it writes against the VM's
// budget for control traffic. With Settings.Keys it uses mutual TLS, in which both
// sides prove that they belong to the group; without keys it trusts every peer
// that connects.
//
// The protocol is defined in peer.proto. The generated code is committed; to
// regenerate it, run at the root of the module:
//
//	go tool -modfile=tools/gen/go.mod buf generate
package lhpeer
