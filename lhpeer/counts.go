package lhpeer

import "sync/atomic"

// Counts is what a member has counted of its membership.
type Counts struct {
	// Pings counts requests sent, the regular and the urgent ones.
	Pings uint64
	// Failures counts requests without an answer.
	Failures uint64
	// Probes counts requests to probe a third member.
	Probes uint64
	// Suspicions counts those that this member raised.
	Suspicions uint64
	// Refutations counts suspicions against this member that it refuted.
	Refutations uint64
	// Unreachable counts members that became unreachable.
	Unreachable uint64
	// Returns counts unreachable members that came back.
	Returns uint64
	// Deaths counts members that this member found dead.
	Deaths uint64
	// Views counts the views that were built.
	Views uint64
}

// Counters is what a node has counted since it was made.
type Counters struct {
	// Counts are of the membership since the node last joined.
	Counts
	// BytesOut and BytesIn count control traffic, HTTP and TLS included, TCP and IP
	// headers not.
	BytesOut, BytesIn uint64
	// RecordsOut and RecordsIn count records of flows handed over.
	RecordsOut, RecordsIn uint64
	// FailedPushes counts calls that should have ended a hand-over.
	FailedPushes uint64
	// FetchesIn and FetchesOut count configurations had from and given to peers.
	FetchesIn, FetchesOut, FailedFetches uint64
	// Conflicts counts peers with other content under the same revision.
	Conflicts uint64
	// Rejoins counts how often the group had gone on without this VM.
	Rejoins uint64
}

// nodeCounts are the counters that are not the membership's.
type nodeCounts struct {
	recordsOut, recordsIn, failedPushes  atomic.Uint64
	fetchesIn, fetchesOut, failedFetches atomic.Uint64
	conflicts, rejoins                   atomic.Uint64
}

// Counters returns what the node has counted.
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
