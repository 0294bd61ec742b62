package lhmark

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// minDomainFailures is the number of servers that fail together if this VM has seen one of
	// them itself; otherwise it takes twice as many, so that one VM that is cut off can't make
	// others suspect a domain.
	minDomainFailures = 3
	// domainProbeInterval is the time after which a VM tries a suspect domain with a flow.
	domainProbeInterval = time.Second
	// lifeInterval is the minimum time between two reports that a domain lives.
	lifeInterval = 200 * time.Millisecond
	// minSilence is the time without any answer, in mean intervals between the answers that this
	// VM sees, before SYNs that may still be answered make a domain suspect: servers that are full
	// leave them unanswered as well.
	minSilence = 3
	// maxAnswerInterval limits a single interval in the mean. Longer ones are pauses or faults.
	maxAnswerInterval = time.Second
)

// DomainChange is a failure domain that has become suspect, or is no longer.
type DomainChange struct {
	Service, DataCentre string
	Suspect             bool
	// Failed is the number of its servers that had failed since its last answer.
	Failed int
}

// domainKey identifies a failure domain.
type domainKey struct{ service, dataCentre string }

// domain is a failure domain: the servers of a service in a data centre. A nil domain records
// nothing and is never suspect.
type domain struct {
	// others are the other domains of the service.
	others atomic.Pointer[[]*domain]

	mu sync.Mutex
	// size is the number of servers that take new flows.
	size int
	// lastAlive is the time of the latest known answer of any of its servers, and failures are
	// the servers that have not answered a SYN which was sent later, each once. own is set
	// while this VM has seen one of them itself.
	lastAlive time.Duration
	failures  []domainFailure
	own       bool
	// answeredAt is when this VM has last seen an answer, and interval the mean time between
	// them; 0 until there have been two.
	answeredAt, interval time.Duration
	// suspectSince is when the domain became suspect; 0 while it is not. It gets no new flow
	// until avoidUntil.
	suspectSince, avoidUntil time.Duration
	// reportedAt is when it was last reported to live, by this VM or another.
	reportedAt time.Duration
	// logged is set if the last review has returned the domain as suspect.
	logged bool
}

// domainFailure is a server that has left a SYN without an answer.
type domainFailure struct {
	server uint32
	sentAt time.Duration
	// ended is set if no answer can come any more, because something has ended the attempt.
	ended bool
}

// suspect reports whether a server that has been known since a time is suspect because others
// of its domain have failed. It is not if all domains of the service are suspect.
func (d *domain) suspect(now, knownSince time.Duration) bool {
	if d == nil || !d.avoided(now, knownSince) {
		return false
	}
	others := d.others.Load()
	return others != nil && slices.ContainsFunc(*others, func(o *domain) bool { return o.takesFlows(now) })
}

// avoided reports whether a server that has been known since a time gets no flow while other
// domains take them.
func (d *domain) avoided(now, knownSince time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.suspectSince > 0 && now < d.avoidUntil && knownSince <= d.suspectSince
}

// takesFlows reports whether the domain has servers for new flows and is not suspect.
func (d *domain) takesFlows(now time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.size > 0 && (d.suspectSince == 0 || now >= d.avoidUntil)
}

// recordSYN records that a flow tries the domain.
func (d *domain) recordSYN(now time.Duration) {
	if d == nil {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.suspectSince > 0 {
		d.avoidUntil = max(d.avoidUntil, now+domainProbeInterval)
	}
}

// recordFailure records that a server has not answered a SYN, found at some time by this VM or
// another. It reports whether no server of the domain has answered since that was sent.
func (d *domain) recordFailure(f domainFailure, at time.Duration, own bool) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if f.sentAt <= d.lastAlive {
		return false
	}
	d.own = d.own || own
	i := slices.IndexFunc(d.failures, func(o domainFailure) bool { return o.server == f.server })
	switch {
	case i >= 0:
		d.failures[i].sentAt = max(d.failures[i].sentAt, f.sentAt)
		d.failures[i].ended = d.failures[i].ended || f.ended
	case len(d.failures) < 2*minDomainFailures:
		d.failures = append(d.failures, f)
	}
	d.judge(at)
	return true
}

// judge makes the domain suspect if enough servers have failed. The lock must be held.
func (d *domain) judge(now time.Duration) {
	if d.suspectSince == 0 && d.failedTogether(now) {
		d.suspectSince, d.avoidUntil = now, now+domainProbeInterval
	}
}

// failedTogether reports whether enough servers have failed. The lock must be held.
func (d *domain) failedTogether(now time.Duration) bool {
	if len(d.failures) < d.required() {
		return false
	}
	ended := 0
	for _, f := range d.failures {
		if f.ended {
			ended++
		}
	}
	return ended >= d.required() || d.interval > 0 && now-d.lastAlive >= minSilence*d.interval
}

// required returns the number of servers that have to fail. The lock must be held.
func (d *domain) required() int {
	if d.own {
		return max(min(minDomainFailures, d.size), 2)
	}
	return 2 * minDomainFailures
}

// recordAlive records an answer of a server at some time, seen by this VM or another. It reports
// whether other VMs should know, because they may take the domain for failed.
func (d *domain) recordAlive(at time.Duration, own bool) bool {
	if d == nil {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastAlive = max(d.lastAlive, at)
	if own {
		d.recordAnswer(at)
	} else {
		d.reportedAt = max(d.reportedAt, at)
	}
	if len(d.failures) == 0 {
		return false
	}
	news := own && len(d.failures) >= min(minDomainFailures, max(d.size, 2)) && at-d.reportedAt >= lifeInterval
	if news {
		d.reportedAt = at
	}
	d.failures = slices.DeleteFunc(d.failures, func(f domainFailure) bool { return f.sentAt <= at })
	if len(d.failures) == 0 {
		d.own = false
	}
	if len(d.failures) < d.required() {
		d.suspectSince, d.avoidUntil = 0, 0
	}
	return news
}

// recordAnswer records an answer that this VM has seen. The lock must be held.
func (d *domain) recordAnswer(at time.Duration) {
	interval := min(at-d.answeredAt, maxAnswerInterval)
	switch {
	case d.answeredAt == 0:
	case d.interval == 0:
		d.interval = interval
	default:
		d.interval += (interval - d.interval) / 8
	}
	d.answeredAt = at
}

// setSize sets the number of servers that take new flows.
func (d *domain) setSize(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.size = n
}

// change judges the domain and returns whether it is suspect, and whether that differs from the
// last call.
func (d *domain) change(now time.Duration) (suspect, changed bool, failed int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.judge(now)
	suspect = d.suspectSince > 0
	changed, d.logged = suspect != d.logged, suspect
	return suspect, changed, len(d.failures)
}

// domainOf returns the failure domain of a server, or nil if domains are not used.
func (e *Engine) domainOf(s *Server) *domain {
	if !e.detection.Domains {
		return nil
	}
	key := domainKey{s.Service, s.DataCentre}
	v, ok := e.domains.Load(key)
	if !ok {
		v, _ = e.domains.LoadOrStore(key, new(domain))
	}
	return v.(*domain)
}

// observeDomain takes over an observation of another VM for the failure domain of its server.
func (e *Engine) observeDomain(o Observation, s *serverStats) {
	switch o.Evidence {
	case AnsweredSYN, AnsweredRequest:
		s.domain.recordAlive(o.At, false)
	case UnansweredSYN:
		// The SYN was sent before its copy came.
		s.domain.recordFailure(domainFailure{server: o.Server, sentAt: o.At - followUpTimeout}, o.At, false)
	case UnfollowedSYN:
		s.domain.recordFailure(domainFailure{server: o.Server, sentAt: o.At, ended: true}, o.At+followUpTimeout, false)
	case OverdueSYN:
		s.domain.recordFailure(domainFailure{server: o.Server, sentAt: o.At}, o.At+minOverdue, false)
	}
}

// setDomains counts the servers of each domain that take new flows.
func (e *Engine) setDomains(t *Table) {
	services := make(map[string][]*domain)
	e.domains.Range(func(key, v any) bool {
		k, d := key.(domainKey), v.(*domain)
		size := 0
		if p := t.serving[k.service]; p != nil {
			size = p.local(k.dataCentre).size
		}
		d.setSize(size)
		services[k.service] = append(services[k.service], d)
		return true
	})
	for _, all := range services {
		for _, d := range all {
			others := slices.DeleteFunc(slices.Clone(all), func(o *domain) bool { return o == d })
			d.others.Store(&others)
		}
	}
}

// domainChanges judges the domains and returns those that have become suspect, or are no longer, since the last
// call.
func (e *Engine) domainChanges(now time.Duration) []DomainChange {
	var changes []DomainChange
	e.domains.Range(func(key, v any) bool {
		k := key.(domainKey)
		if suspect, changed, failed := v.(*domain).change(now); changed {
			changes = append(changes, DomainChange{Service: k.service, DataCentre: k.dataCentre, Suspect: suspect, Failed: failed})
		}
		return true
	})
	return changes
}

// SuspectDomains returns the number of failure domains that are suspect.
func (e *Engine) SuspectDomains() int {
	count := 0
	e.domains.Range(func(_, v any) bool {
		d := v.(*domain)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.suspectSince > 0 {
			count++
		}
		return true
	})
	return count
}
