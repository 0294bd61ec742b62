package lhpeer

import "sync/atomic"

// Counts holds the counters of a membership.
type Counts struct {
	// Pings counts requests sent, both regular and urgent.
	Pings uint64
	// Failures counts requests without a reply.
	Failures uint64
	// Probes counts requests to probe a third member.
	Probes uint64
	// Suspicions counts suspicions raised by this member.
	Suspicions uint64
	// Refutations counts suspicions against this member that it refuted.
	Refutations uint64
	// Unreachable counts members that became unreachable.
	Unreachable uint64
	// Returns counts unreachable members that came back.
	Returns uint64
	// Deaths counts members that this member declared dead.
	Deaths uint64
	// Views counts the views built.
	Views uint64
}

// Counters holds the counters of a node since it was created.
type Counters struct {
	// Counts covers the membership since the node last joined.
	Counts
	// BytesOut and BytesIn count the bytes of control traffic, including HTTP and
	// TLS but without TCP and IP headers.
	BytesOut, BytesIn uint64
	// RecordsOut and RecordsIn count flow records handed over.
	RecordsOut, RecordsIn uint64
	// FailedPushes counts failed calls that report a completed hand-over.
	FailedPushes uint64
	// FetchesIn and FetchesOut count configurations fetched from peers and sent to
	// peers.
	FetchesIn, FetchesOut, FailedFetches uint64
	// Conflicts counts messages of peers with different content under the same
	// revision.
	Conflicts uint64
	// Rejoins counts how often the group excluded this VM and it rejoined.
	Rejoins uint64
}

// nodeCounts holds the counters of a node outside its membership.
type nodeCounts struct {
	recordsOut, recordsIn, failedPushes  atomic.Uint64
	fetchesIn, fetchesOut, failedFetches atomic.Uint64
	conflicts, rejoins                   atomic.Uint64
}

// Counters returns the counters of the node.
func (n *Node) Counters() Counters {
	n.mu.Lock()
	counts := n.member.Counts()
	n.mu.Unlock()
	return Counters{
		Counts:        counts,
		BytesOut:      n.budget.out.Load(),
		BytesIn:       n.budget.in.Load(),
		RecordsOut:    n.counts.recordsOut.Load(),
		RecordsIn:     n.counts.recordsIn.Load(),
		FailedPushes:  n.counts.failedPushes.Load(),
		FetchesIn:     n.counts.fetchesIn.Load(),
		FetchesOut:    n.counts.fetchesOut.Load(),
		FailedFetches: n.counts.failedFetches.Load(),
		Conflicts:     n.counts.conflicts.Load(),
		Rejoins:       n.counts.rejoins.Load(),
	}
}
