package lhmark

import (
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// usualMemory is the time over which the usual time of a route is taken. A fault of some
	// seconds does not become usual.
	usualMemory = 30 * time.Second
	// minUsualAnswers is the number of answers without which there is no usual time.
	minUsualAnswers = 4
	// unevenHold is how long a service counts as uneven after a difference was last seen.
	// It spares the servers changes between the two ways of choosing.
	unevenHold = 30 * time.Second
	// handshakeWeight is the weight of the latest handshake in the mean of its data centre.
	handshakeWeight = 0.05
)

// speeds is what a VM knows of the speeds of all servers, besides their serverStats. The
// zero value is disabled.
type speeds struct {
	enabled atomic.Bool
	mu      sync.RWMutex
	// usual holds the usual time of each route, and handshakes the mean handshake with the
	// servers of each data centre.
	usual      map[netip.AddrPort]*usualTime
	handshakes map[string]time.Duration
	// services holds the services with servers of different speeds; it is immutable.
	services atomic.Pointer[map[string]*serviceSpeed]
}

// usualTime is the mean time of a route's recent answers.
type usualTime struct {
	mean time.Duration
	// answers is the number of answers. The first came at first and the last at last.
	answers     int
	first, last time.Duration
}

// add takes an answer into the mean. Answers count for the time since the one before, so that a
// burst does not count for more than its time.
func (u *usualTime) add(now, work time.Duration) {
	if u.answers++; u.answers <= minUsualAnswers {
		u.mean += (work - u.mean) / time.Duration(u.answers)
		u.last = now
		return
	}
	weight := float64(now-u.last) / float64(max(min(now-u.first, usualMemory), 1))
	u.mean += time.Duration(min(max(weight, 0), 1) * float64(work-u.mean))
	u.last = max(u.last, now)
}

// serviceSpeed is what a VM knows of the servers of a service.
type serviceSpeed struct {
	// uneven is set if a server clearly differed from the others until unevenUntil.
	uneven      bool
	unevenUntil time.Duration
	// tightness is the usual time divided by the latency target, the largest of all routes
	// of the service; 0 if none has a target. target is that of the same route.
	tightness float64
	target    time.Duration
	// quickShare is the share of quick answers of all servers.
	quickShare float64
	// dataCentres holds the recent answers of the servers of each data centre.
	dataCentres map[string]recentAnswers
}

// SpeedReport holds what a refresh has changed.
type SpeedReport struct {
	// Uneven names the services that are now served by the speeds of their servers, and
	// Even those that no longer are.
	Uneven, Even []string
	Servers      []SpeedChange
}

// SpeedChange is a clear change of a server's speed against that of others.
type SpeedChange struct {
	Server *Server
	Class  SpeedClass
	// Slowness is the expected time of an answer relative to the usual one, QuickShare the
	// share of answers that came too soon for work, and Answers the weight of what is known.
	Slowness, QuickShare, Answers float64
}

// SetSpeeds sets whether flows are placed by the speeds of servers.
func (e *Engine) SetSpeeds(on bool) { e.speeds.enabled.Store(on) }

// recordHandshake records the time from a SYN to the caller's acknowledgement.
func (s *speeds) recordHandshake(to *Server, latency time.Duration) {
	if !s.enabled.Load() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handshakes == nil {
		s.handshakes = make(map[string]time.Duration)
	}
	mean, ok := s.handshakes[to.DataCentre]
	if !ok {
		mean = latency
	}
	s.handshakes[to.DataCentre] = mean + time.Duration(handshakeWeight*float64(latency-mean))
}

// relativeTime returns the time of a route's answer divided by the usual one, and takes it
// into that. It reports false while that is not known.
func (s *speeds) relativeTime(now time.Duration, route netip.AddrPort, work time.Duration) (float64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.usual == nil {
		s.usual = make(map[netip.AddrPort]*usualTime)
	}
	u, ok := s.usual[route]
	if !ok {
		u = &usualTime{first: now}
		s.usual[route] = u
	}
	relative, known := float64(work)/float64(max(u.mean, time.Microsecond)), u.answers >= minUsualAnswers
	if known {
		// Quick answers count as well, so that a usual time that is too long comes down.
		work = max(min(work, maxRelativeTime*u.mean), time.Duration(quickFraction*float64(u.mean)))
	}
	u.add(now, work)
	return relative, known
}

// usualTime returns the usual time of a route, or 0.
func (s *speeds) usualTime(route netip.AddrPort) time.Duration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if u, ok := s.usual[route]; ok && u.answers >= minUsualAnswers {
		return u.mean
	}
	return 0
}

// forgetRoutes removes the usual times of routes that are no longer declared.
func (s *speeds) forgetRoutes(t *Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address := range s.usual {
		if _, ok := t.routes[address]; !ok {
			delete(s.usual, address)
		}
	}
}

// service returns what is known of a service whose servers differ, or nil.
func (s *speeds) service(name string) *serviceSpeed {
	if all := s.services.Load(); all != nil {
		if v := (*all)[name]; v != nil && v.uneven {
			return v
		}
	}
	return nil
}

// recordSpeed records how long a server took to answer a request of a flow.
func (e *Engine) recordSpeed(now time.Duration, r *record, d *Decision) {
	if !e.speeds.enabled.Load() || r.handshake == 0 || d.Route == nil {
		return
	}
	work := max(d.Latency-r.handshake, 0)
	relative, ok := e.speeds.relativeTime(now, d.Route.Address, work)
	if !ok {
		return
	}
	stats := e.statsByNumber(r.server)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.speed.recordAnswer(now, relative)
}

// TakeTallies returns the answers to this VM since the last call, for the other VMs of its
// data centre.
func (e *Engine) TakeTallies() []SpeedTally {
	var list []SpeedTally
	e.stats.Range(func(number, v any) bool {
		stats := v.(*serverStats)
		stats.mu.Lock()
		defer stats.mu.Unlock()
		if t := stats.speed.take(); t.Answers+t.Quick > 0 {
			t.Server = number.(uint32)
			list = append(list, t)
		}
		return true
	})
	return list
}

// AddTally takes over a tally of the VMs of the data centre, this one included, which began at
// some time. One that began before the server became known is of an earlier run.
func (e *Engine) AddTally(now, began time.Duration, t SpeedTally) {
	if !e.speeds.enabled.Load() {
		return
	}
	stats := e.statsByNumber(t.Server)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	if began >= stats.knownSince && now-began < maxTallyAge {
		stats.speed.recordShared(now, t)
	}
}

// RefreshSpeeds compares the servers of each service. It has to be called about once a second.
func (e *Engine) RefreshSpeeds(now time.Duration) SpeedReport {
	var report SpeedReport
	if !e.speeds.enabled.Load() {
		return report
	}
	t := e.table.Load()
	services := make(map[string]*serviceSpeed)
	for name, p := range t.serving {
		if v := e.refreshService(now, name, p.servers, &report); v != nil {
			services[name] = v
		}
	}
	for i := range t.cfg.Routes {
		e.addTightness(services, &t.cfg.Routes[i])
	}
	e.speeds.forgetRoutes(t)
	e.speeds.services.Store(&services)
	return report
}

// refreshService compares the servers of a service. It returns nil if none has answered lately.
func (e *Engine) refreshService(now time.Duration, name string, servers []*Server, report *SpeedReport) *serviceSpeed {
	last := e.speeds.last(name)
	before := last != nil && last.uneven
	if !e.heard(now, servers) {
		if before {
			report.addService(name, false)
		}
		return nil
	}
	v := e.compareServers(now, servers)
	if last != nil {
		v.unevenUntil = max(v.unevenUntil, last.unevenUntil)
	}
	v.uneven = now < v.unevenUntil
	if v.uneven != before {
		report.addService(name, v.uneven)
	}
	report.Servers = append(report.Servers, e.classify(now, v, servers)...)
	return v
}

func (r *SpeedReport) addService(name string, uneven bool) {
	if uneven {
		r.Uneven = append(r.Uneven, name)
		return
	}
	r.Even = append(r.Even, name)
}

// heard reports whether a server has answered lately.
func (e *Engine) heard(now time.Duration, servers []*Server) bool {
	for _, s := range servers {
		stats := e.statsOf(s)
		stats.mu.Lock()
		heardAt := stats.speed.heardAt
		stats.mu.Unlock()
		if heardAt > 0 && now-heardAt < unevenHold {
			return true
		}
	}
	return false
}

// last returns what was known of a service at the last refresh, or nil.
func (s *speeds) last(name string) *serviceSpeed {
	if all := s.services.Load(); all != nil {
		return (*all)[name]
	}
	return nil
}

// addTightness notes in the services of a route how its usual time compares with its target.
func (e *Engine) addTightness(services map[string]*serviceSpeed, r *Route) {
	usual := e.speeds.usualTime(r.Address)
	if r.TargetLatency == 0 || usual == 0 {
		return
	}
	tightness := float64(usual) / float64(r.TargetLatency)
	for _, w := range r.TrafficSplit {
		if v, ok := services[w.Service]; ok && tightness > v.tightness {
			v.tightness, v.target = tightness, r.TargetLatency
		}
	}
}

// compareServers updates the expected times of the servers of a service and compares them.
func (e *Engine) compareServers(now time.Duration, servers []*Server) *serviceSpeed {
	v := &serviceSpeed{dataCentres: make(map[string]recentAnswers)}
	var all recentAnswers
	list := make([]recentAnswers, 0, len(servers))
	var means []float64
	for _, s := range servers {
		known := e.knownSpeed(now, s)
		list = append(list, known)
		all = all.plus(known)
		v.dataCentres[s.DataCentre] = v.dataCentres[s.DataCentre].plus(known)
		if known.answers >= minClearAnswers {
			means = append(means, known.time/known.answers)
		}
	}
	v.quickShare = all.quickShare()
	if len(means) == 0 {
		return v
	}
	slices.Sort(means)
	median := means[len(means)/2]
	for i, s := range servers {
		if e.differsAgain(s, v.differs(list[i], median)) {
			v.unevenUntil = now + unevenHold
		}
	}
	return v
}

// differs reports whether a server clearly differs from the others of its service.
func (v *serviceSpeed) differs(known recentAnswers, median float64) bool {
	return known.differs(median) || known.quick >= minClearAnswers && known.quickShare() > v.quickShare+allowedQuick
}

// differsAgain records whether a server differs and reports whether it does for the second time in
// a row: at equal servers queues grow for a moment.
func (e *Engine) differsAgain(s *Server, differs bool) bool {
	stats := e.statsOf(s)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	before := stats.speed.differs
	stats.speed.differs = differs
	return before && differs
}

// knownSpeed updates the expected time of a server and returns the answers of this and other
// VMs that it comes from.
func (e *Engine) knownSpeed(now time.Duration, s *Server) recentAnswers {
	stats := e.statsOf(s)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	stats.speed.update(now)
	own, shared := stats.speed.own, stats.speed.shared
	if shared.answers+shared.quick > own.answers+own.quick {
		return shared
	}
	return own
}

// classify returns the servers of a service whose class has changed.
func (e *Engine) classify(now time.Duration, v *serviceSpeed, servers []*Server) []SpeedChange {
	var changes []SpeedChange
	for _, s := range servers {
		if c := e.reclassify(now, v, s); c.Server != nil {
			changes = append(changes, c)
		}
	}
	return changes
}

// reclassify returns the change of a server's class, if it has had the new one twice in a row.
func (e *Engine) reclassify(now time.Duration, v *serviceSpeed, s *Server) SpeedChange {
	stats := e.statsOf(s)
	stats.mu.Lock()
	defer stats.mu.Unlock()
	speed := &stats.speed
	known := speed.known(now)
	class, latest := v.class(known, speed.class), speed.latestClass
	speed.latestClass = class
	if class != latest || class == speed.class || known.answers+known.quick < minClearAnswers {
		return SpeedChange{}
	}
	speed.class = class
	return SpeedChange{
		Server: s, Class: class, Slowness: known.slowness(), QuickShare: known.quickShare(), Answers: known.answers + known.quick,
	}
}

// class returns the class of a server with some answers that had another class before.
func (v *serviceSpeed) class(known recentAnswers, before SpeedClass) SpeedClass {
	slow, fast, shedding := clearRatio, 1/clearRatio, v.quickShare+allowedQuick
	switch before {
	case Slow:
		slow /= classMargin
	case Fast:
		fast *= classMargin
	case Shedding:
		shedding = v.quickShare + allowedQuick/classMargin
	}
	switch slowness := known.slowness(); {
	case !v.uneven:
		return UsualSpeed
	case known.quickShare() > shedding:
		return Shedding
	case slowness > slow:
		return Slow
	case slowness < fast:
		return Fast
	}
	return UsualSpeed
}

// expectedTime returns the time that a request is expected to take at a server that is not
// busy, relative to the usual one. A request that is shed costs its caller about as much as the
// latency target, or as a further try where there is none.
func (v *serviceSpeed) expectedTime(s *serverSpeed) float64 {
	excess := max(s.quickShare-v.quickShare-allowedQuick, 0)
	if v.tightness == 0 {
		return s.factor() / (1 - excess)
	}
	return s.factor() + excess/v.tightness
}
