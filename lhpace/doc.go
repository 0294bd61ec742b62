// Package lhpace decides how many new flows a backend server gets while it is cold.
//
// A server is cold after it has started, has come back or has answered again. Two things
// limit it then, each on its own:
//
//   - Declared is a limit that operators declare for the new flows of one cold server,
//     summed over all VMs. It is divided into parts by rendezvous hashing over the VMs of
//     the server's data centre. Group is what a VM knows of the others; it keeps the sum
//     of the parts within the limit while VMs join, leave or know different states. Window
//     counts the new flows that a VM has sent.
//   - Pace is the fraction of its usual new flows that the server gets. It begins low,
//     grows with time, and falls with each answer that shows a queue, which Usual judges
//     against what the route's answers usually take.
//
// The package opens no socket, starts no goroutine and reads no clock. Its types are not
// safe for concurrent use.
package lhpace
