// Package lhstore keeps the fleet's configuration in the platform's key-value
// service and brings each accepted revision to every VM.
//
// # What is stored
//
// The files that operators wrote, and the declarations that were merged from
// them, are parted over a fixed number of pages by a hash of their names. A VM
// takes the declarations as they are, so that only operators' tools parse files.
// A page is a compressed value under the hash of its contents, so a change of one
// file replaces a page or two and leaves the others as they are. A manifest, one
// for each revision, names the pages and says what the revision changed. Pages
// and manifests never change once they are referred to. One key, the head, names
// the manifest in force, and only a compare-and-swap of the head accepts a
// configuration:
//
//	head            {revision 8, manifest "8-5f0c", turn 31}
//	manifest/8-5f0c {previous 7-a2d1, pages [...], files and declarations changed}
//	page/Zk3v...    the files and declarations of one page
//
// The head also has a turn that grows with every swap. Whoever is unsure whether
// an earlier swap may still take effect swaps the head for itself with the next
// turn: the earlier one then can't. That is how a write whose reply was lost is
// told apart as done or not done, and how compaction shuts out an apply that
// began before it. All of this needs of the store that it never gives an ETag
// twice, also not after it has returned to an older state.
//
// # How a revision spreads
//
// A few VMs of each data centre watch the head. The others hear of a revision
// from their peers and fetch the changed files from them, so the calls that the
// store counts grow with data centres and changes, not with VMs. A Follower
// decides what a VM does with what it hears; it opens no socket, reads no clock
// and never goes back to a lower revision, whatever the store says. A Runner
// carries its decisions out.
//
// When the store returns to an older state, the VMs that watch it write back what
// they hold. Only a revision that no VM had taken by then is lost with the store.
package lhstore
