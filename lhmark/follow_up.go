package lhmark

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

const (
	// ReviewInterval is the time between two calls of Engine.Review.
	ReviewInterval = 20 * time.Millisecond
	// maxReviewPause is the time between two reviews above which this VM stood still, so that
	// packets of before wait in its socket.
	maxReviewPause = 10 * ReviewInterval
	// followUpTimeout is the time within which a caller sends the next packet after a SYN, as
	// it retransmits after 200 ms.
	followUpTimeout = 250 * time.Millisecond
	// minOverdue is the least time after which a follow-up is overdue: longer than a VM waits for
	// a processor that it shares.
	minOverdue = 50 * time.Millisecond
	// maxPendingSYNs limits the SYNs that wait for their follow-up. Further ones are not judged.
	maxPendingSYNs = 8192
	// minUnfollowed is the number of SYNs in a row without follow-up after which a server is
	// avoided, and maxUnfollowed its upper limit where callers leave by themselves.
	minUnfollowed, maxUnfollowed = 2, 20
	// maxFalseSuspicion is the chance at which callers that leave by themselves make a server
	// suspect.
	maxFalseSuspicion = 0.02
	// maxCredited limits the SYNs in a row at one server that count as abandoned once it answers:
	// one that has been down answers after many, which say nothing of callers.
	maxCredited = 5
	// abandonmentWeight is the weight of the latest SYN in the fraction of callers that leave.
	abandonmentWeight = 0.02
)

// The kinds of evidence from SYNs that nothing has followed yet. Earlier versions ignore them.
const (
	// UnfollowedSYN is a SYN after which the caller sent nothing, neither a packet of the flow
	// nor a copy: most likely it was reset. At is the time of the SYN.
	UnfollowedSYN Evidence = iota + 16
	// OverdueSYN is a SYN whose follow-up takes several times as long as usual. It is evidence
	// only of its server's failure domain. At is the time of the SYN.
	OverdueSYN
)

// Detection selects what an Engine takes for evidence beside unanswered SYNs.
type Detection struct {
	// FollowUps takes SYNs that are neither followed by a packet nor retransmitted for evidence.
	FollowUps bool
	// Domains suspects all servers of a service in a data centre when several fail together.
	Domains bool
}

// SetDetection selects the evidence that is used. It must be called before the first table is
// set and before the first packet.
func (e *Engine) SetDetection(d Detection) { e.detection = d }

// Review is what a VM has found since the previous review.
type Review struct {
	// Unfollowed holds the SYNs that no packet has followed.
	Unfollowed []UnfollowedFlow
	// Overdue holds what other VMs should know of SYNs whose follow-up is overdue.
	Overdue []Observation
	// Domains holds the failure domains that have become suspect or are no longer.
	Domains []DomainChange
}

// UnfollowedFlow is a flow whose caller has sent nothing after its SYN.
type UnfollowedFlow struct {
	Key lhflow.Key
	// Seq is the sequence number of the SYN.
	Seq    uint32
	Server *Server
	// Failures is how often in a row the server has been taken for one that does not answer.
	Failures int
	Observed Observation
}

// followUps are the SYNs that this VM has forwarded and that no packet has followed yet. The
// zero value is empty.
type followUps struct {
	mu sync.Mutex
	// pending is sorted by the time at which the SYNs were sent. The first checked of them have
	// been looked at when their follow-up was overdue.
	pending []pendingSYN
	checked int
	// overdue and missing are returned by take.
	overdue, missing []pendingSYN
	// latency is the smoothed time from a SYN to its follow-up and deviation its mean deviation;
	// 0 until there has been one.
	latency, deviation time.Duration
	// reviewedAt is the time of the last review, and resumedAt that of the last one before
	// which this VM stood still.
	reviewedAt, resumedAt time.Duration
	// abandoned is the fraction of SYNs without follow-up at servers that answered afterwards.
	abandoned float64
	// receivedAt is when this VM last received a packet, and silentSince when the latest pause
	// longer than maxReviewPause began, in nanoseconds.
	receivedAt, silentSince atomic.Int64
}

// pendingSYN is a SYN that was sent to a server.
type pendingSYN struct {
	id     lhflow.ID
	key    lhflow.Key
	isn    uint32
	server uint32
	sentAt time.Duration
}

// recordReceived records that this VM receives a packet.
func (f *followUps) recordReceived(now time.Duration) {
	if last := f.receivedAt.Swap(int64(now)); int64(now)-last > int64(maxReviewPause) {
		f.silentSince.Store(last)
	}
}

// inSilence reports whether this VM received nothing for long since a time when the follow-up
// was awaited.
func (p *pendingSYN) inSilence(since time.Duration) bool {
	return since >= p.sentAt && since <= p.sentAt+followUpTimeout
}

// add adds a SYN that is sent to a server.
func (f *followUps) add(p pendingSYN) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.pending) < maxPendingSYNs {
		f.pending = append(f.pending, p)
	}
}

// take returns the SYNs whose follow-up has become overdue, and those whose follow-up can no
// longer be expected, which it removes. SYNs are not judged if this VM received nothing when
// their follow-ups were due. While it stood still, they may be on their way. The result is valid
// until the next call.
func (f *followUps) take(now time.Duration) (overdue, missing []pendingSYN) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.reviewedAt > 0 && now-f.reviewedAt > maxReviewPause {
		f.resumedAt = now
	}
	f.reviewedAt = now
	received, silentSince := time.Duration(f.receivedAt.Load()), time.Duration(f.silentSince.Load())
	limit := f.overdueLimit()
	overdue, missing = f.overdue[:0], f.missing[:0]
	for ; f.checked < len(f.pending); f.checked++ {
		p := f.pending[f.checked]
		if now-max(p.sentAt, f.resumedAt) < limit || received-p.sentAt < limit {
			break
		}
		if !p.inSilence(silentSince) {
			overdue = append(overdue, p)
		}
	}
	done := 0
	for _, p := range f.pending {
		judged := now-max(p.sentAt, f.resumedAt) >= followUpTimeout && received-p.sentAt >= minRetransmitInterval
		if !judged && now-p.sentAt < halfOpenTimeout {
			break
		}
		if done++; judged && !p.inSilence(silentSince) {
			missing = append(missing, p)
		}
	}
	f.pending = f.pending[:copy(f.pending, f.pending[done:])]
	f.checked = max(f.checked-done, 0)
	f.overdue, f.missing = overdue, missing
	return overdue, missing
}

// overdueLimit returns the time after which a follow-up is overdue. The lock must be held.
func (f *followUps) overdueLimit() time.Duration {
	if f.latency == 0 {
		return followUpTimeout
	}
	return min(max(2*(f.latency+4*f.deviation), minOverdue), followUpTimeout)
}

// recordLatency records the time from a SYN to its follow-up, smoothed as in RFC 6298.
func (f *followUps) recordLatency(latency time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.latency == 0 {
		f.latency, f.deviation = latency, latency/2
		return
	}
	f.deviation += ((latency - f.latency).Abs() - f.deviation) / 4
	f.latency += (latency - f.latency) / 8
}

// recordAnswered records an answered SYN after a number of others at the same server that
// nothing followed, which therefore were abandoned by their callers.
func (f *followUps) recordAnswered(unfollowed int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for range min(unfollowed, maxCredited) {
		f.abandoned += abandonmentWeight * (1 - f.abandoned)
	}
	f.abandoned -= abandonmentWeight * f.abandoned
}

// required returns the number of SYNs in a row without follow-up that make a server suspect.
func (f *followUps) required() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.abandoned <= 0 {
		return minUnfollowed
	}
	n := math.Ceil(math.Log(maxFalseSuspicion) / math.Log(min(f.abandoned, 0.9)))
	return min(max(int(n), minUnfollowed), maxUnfollowed)
}

// awaitFollowUp records that a flow's first SYN has been forwarded. The next copy of a later one
// comes too late, or never.
func (e *Engine) awaitFollowUp(ev *lhflow.Event, r *record) {
	if e.detection.FollowUps && ev.Ack == 0 {
		e.followUps.add(pendingSYN{id: ev.ID, key: ev.Key, isn: r.isn, server: r.server, sentAt: ev.Now})
	}
}

// recordFollowUp records that a server has answered a flow's SYN.
func (e *Engine) recordFollowUp(now time.Duration, r *record, stats *serverStats, d *Decision) {
	if e.detection == (Detection{}) {
		return
	}
	unfollowed := stats.takeUnfollowed()
	e.followUps.recordAnswered(unfollowed)
	if r.attempts == 1 {
		e.followUps.recordLatency(d.Latency)
	}
	if alive := stats.domain.recordAlive(now, true); alive || unfollowed > 0 {
		d.Observed = Observation{Server: r.server, Evidence: AnsweredSYN, At: now}
	}
}

// Review judges the SYNs whose follow-up is due. It is called every ReviewInterval, by one
// goroutine at a time.
func (e *Engine) Review(now time.Duration) Review {
	var r Review
	if e.detection.FollowUps {
		required := e.followUps.required()
		overdue, missing := e.followUps.take(now)
		for _, p := range overdue {
			if e.unfollowed(p) && e.statsByNumber(p.server).domain.recordFailure(domainFailure{server: p.server, sentAt: p.sentAt}, now, true) {
				r.Overdue = append(r.Overdue, Observation{Server: p.server, Evidence: OverdueSYN, At: p.sentAt})
			}
		}
		for _, p := range missing {
			if found, ok := e.judge(now, p, required); ok {
				r.Unfollowed = append(r.Unfollowed, found)
			}
		}
	}
	if e.detection.Domains {
		r.Domains = e.domainChanges(now)
	}
	return r
}

// judge reports whether a SYN was neither followed by a packet nor retransmitted.
func (e *Engine) judge(now time.Duration, p pendingSYN, required int) (UnfollowedFlow, bool) {
	server, ok := e.table.Load().Server(p.server)
	if !ok || !e.unfollowed(p) {
		return UnfollowedFlow{}, false
	}
	stats := e.statsByNumber(p.server)
	stats.mu.Lock()
	failures := stats.recordUnfollowed(p.sentAt, now, required)
	stats.mu.Unlock()
	stats.domain.recordFailure(domainFailure{server: p.server, sentAt: p.sentAt, ended: true}, now, true)
	return UnfollowedFlow{
		Key: p.key, Seq: p.isn, Server: server, Failures: failures,
		Observed: Observation{Server: p.server, Evidence: UnfollowedSYN, Failures: failures, At: p.sentAt},
	}, true
}

// unfollowed reports whether this VM has received no packet of a flow since its SYN.
func (e *Engine) unfollowed(p pendingSYN) bool {
	s := &e.shards[p.id.Lo%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(p.key)
	return r != nil && r.state == opening && r.isn == p.isn && r.server == p.server && r.sentAt == p.sentAt && r.lastSeen == p.sentAt
}

// takeUnfollowed returns and clears the number of SYNs in a row that nothing has followed.
func (s *serverStats) takeUnfollowed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.unfollowed
	s.unfollowed = 0
	return n
}

// recordUnfollowed records a SYN without follow-up, found by this VM or another, and returns how
// often in a row the server has been taken for one that does not answer. SYNs that were sent
// before the latest failure was found add nothing to that. The lock must be held.
func (s *serverStats) recordUnfollowed(sentAt, at time.Duration, required int) int {
	if sentAt <= s.lastAnswer {
		return s.failures
	}
	s.unfollowed++
	switch {
	case s.unfollowed < required:
	case s.failures > 0 && sentAt > s.lastFailure:
		s.recordFailure(at, s.failures+1)
	default:
		s.recordFailure(at, max(s.failures, 1))
	}
	return s.failures
}
