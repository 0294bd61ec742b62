// Package lhspread distributes what one VM has read from the platform's store to all
// other VMs, so that the number of calls to the store does not grow with the number of
// VMs.
//
// Every VM knows the others from their entries in the store. All VMs sort the entries in
// the same way, and the first VM reads the store and sends updates to the others: it
// calls the first VM of each data centre, which forwards the update along a tree of the
// VMs of its data centre. If a VM can't be reached, its children in the tree are called
// instead.
//
// No agreement protocol is needed. A VM that has received no update for some time reads
// the store itself and sends what it read; VMs that come earlier in the order do so
// sooner. So the loss of any VM, a partition between data centres or a store that refuses
// some VMs costs only a few calls.
//
// Each update names the revision that it starts from. A VM that lacks changes before it
// requests them from other VMs of its data centre (State). A VM that starts while the store
// does not answer requests the complete state from the contacts in its settings.
//
// When updates fail to come, the first VMs of each data centre read the store, and the
// others ask those. A VM that others have not reached for some time loses its entry in the
// store; an entry outlives a restart otherwise.
//
// VMs of a data centre also share what they observe of backend servers (Share): each sends
// its observations to the first VM of the data centre, which distributes them along the tree.
//
// In the same way they share how fast servers answer, once a second: the first VM of the data
// centre adds up the tallies of all (tally.go).
//
// Order holds the decisions and opens no socket. Node carries them out over connect-go.
package lhspread
