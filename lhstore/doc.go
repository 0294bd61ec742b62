// Package lhstore stores the configuration of a fleet of VMs in the platform's key-value
// service and distributes each accepted revision to every VM.
//
// # Stored data
//
// The files that operators wrote, and the declarations that were merged from them, are
// partitioned into a fixed number of pages by a hash of their names. VMs use the stored
// declarations, so that only operators' tools parse files. A page is a compressed value
// whose key is the hash of its contents, so a change of one file replaces a page or two
// and leaves the others as they are. Each revision has a manifest, which lists the pages
// and the changes of the revision. Pages and manifests are immutable once they are
// referred to. One key, the head, refers to the current manifest, and a configuration is
// accepted only by a compare-and-swap of the head:
//
//	head            {revision 8, manifest "8-5f0c", turn 31}
//	manifest/8-5f0c {previous 7-a2d1, pages [...], files and declarations changed}
//	page/Zk3v...    the files and declarations of one page
//
// The head also has a generation, stored as turn, which grows with every swap. If it is
// unknown whether an earlier swap may still take effect, the head is rewritten with the
// next generation, after which the earlier swap fails. This is how the outcome of a
// write is determined whose response was lost, and how compaction excludes an apply that
// began before it. It requires that the store never returns an ETag twice, not even
// after a rollback to an older state. A Mirror, which follows a store that does return
// revisions twice, compares them together with the store's era.
//
// # Distribution of revisions
//
// A few VMs of each data centre watch the head. The others learn of a revision from
// their peers and fetch the changed files from them, so the number of calls to the store
// grows with data centres and changes, not with VMs. A Follower decides how a VM reacts
// to what it learns. It does no I/O, does not read the clock and never reverts to a lower
// revision, whatever the store returns. A Runner carries out its decisions.
//
// If the store is rolled back to an older state, the VMs that watch it write back the
// revision that they hold. Only revisions that no VM had received by then are lost.
package lhstore
