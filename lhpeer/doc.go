// Package lhpeer keeps the membership of a group of VMs and carries the control
// traffic between them.
//
// Each run of the process on a VM is a member with an ID of its own. A member
// owns what is said of it: only it moves its state forwards, from joining over
// active and leaving to gone. The others may only add suspicion. Once a period a
// member exchanges messages with one other; a member that does not answer is
// probed through two more and then suspected. A suspect that hears of it refutes
// the suspicion with a higher number. A suspicion that stands for Timing.Suspect
// makes the member unreachable: it owns no flows in this VM's view, but it keeps
// its identity and comes back by refuting, as happens when a cut between data
// centres heals. It is dead, and its ID is never accepted again, only where the
// rest of its data centre answers and this VM still hears from a majority of the
// group; a process that was frozen meanwhile learns this and joins anew.
//
// Suspicions are shared, but each member decides for itself when one has stood
// for too long. So views differ for a while; that is the normal case.
//
// A joining member owns nothing until it agrees with the group about the members
// and each active one has said that it has handed over its records. A leaving
// member owns its flows until it has handed over.
//
// The same exchange carries the changes of membership, the number of the
// configuration in force and the marks of hand-over. A change that must not wait
// for the next period is sent on to a few members at once.
//
// Membership takes all of these decisions as plain values, with time and
// randomness passed in:
//
//	m := lhpeer.Join(now, self, contacts, timing, rng)
//	for _, r := range m.Tick(now) { // send r.Message to r.Control
//	}
//	reply, probe := m.Receive(now, message)
//	m.Answered(now, request, reply) // or send what m.Failed(now, request) returns
//	view := m.View()
//
// Node carries the messages between the memberships of a group by connect-go
// over HTTP/2, hands records over and counts each byte that it writes against the
// VM's budget for control traffic. With Settings.Keys it does so by TLS, in which
// both sides prove that they belong to the group; without, it trusts whoever
// reaches it.
//
// The protocol is declared in peer.proto. Its generated code is committed; run at
// the root of the module, this makes it anew:
//
//	go tool -modfile=tools/gen/go.mod buf generate
package lhpeer
