package lhmark

import (
	"maps"
	"net/netip"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Table is an immutable snapshot of the configuration and the servers known to a VM.
type Table struct {
	cfg Config
	// routes holds the routes of cfg by address.
	routes map[netip.AddrPort]*Route
	// byNumber holds the server of each mark.
	byNumber map[uint32]*Server
	// serving holds the servers that take new flows, by the name of their service.
	serving map[string]*pool
	// evacuations holds the evacuations in force, by data centre, and withheld counts the
	// servers that take no new flows because of them, by the name of their service.
	evacuations map[string]Evacuation
	withheld    map[string]int
	// ended marks the numbers of servers that have ended, which are in byNumber as well.
	ended map[uint32]bool
	// minUrgency holds the lowest urgency among the routes to each service.
	minUrgency map[string]lhconf.Urgency
	// services holds what is declared of services, by name; nil if nothing is.
	services map[string]ServiceOptions
	// urgencies holds the urgencies of the routes to each service, without duplicates.
	urgencies map[string][]lhconf.Urgency
}

// newTable returns the table of a configuration with the servers that are present, those that
// have ended, and the evacuations in force.
func newTable(cfg Config, present, ended []*Server, evacuations map[string]Evacuation) *Table {
	t := &Table{
		cfg:         cfg,
		routes:      make(map[netip.AddrPort]*Route, len(cfg.Routes)),
		byNumber:    make(map[uint32]*Server, len(present)+len(ended)),
		serving:     make(map[string]*pool),
		evacuations: maps.Clone(evacuations),
		withheld:    make(map[string]int),
		ended:       make(map[uint32]bool, len(ended)),
		minUrgency:  make(map[string]lhconf.Urgency),
		urgencies:   make(map[string][]lhconf.Urgency),
	}
	for i := range cfg.Routes {
		t.addRoute(&cfg.Routes[i])
	}
	if len(cfg.Services) > 0 {
		t.services = make(map[string]ServiceOptions, len(cfg.Services))
	}
	for _, o := range cfg.Services {
		t.services[o.Name] = o
	}
	for _, s := range ended {
		t.addServer(s)
	}
	for _, s := range present {
		t.addServer(s)
	}
	for _, s := range ended {
		t.ended[s.Number] = t.byNumber[s.Number] == s
	}
	serving := make(map[string][]*Server)
	for _, s := range present {
		// A server whose number belongs to another gets no flows: its mark would
		// select the other.
		if t.byNumber[s.Number] != s || s.State != lhconf.Serving {
			continue
		}
		if t.evacuated(s) {
			t.withheld[s.Service]++
		} else {
			serving[s.Service] = append(serving[s.Service], s)
		}
	}
	for name, list := range serving {
		t.serving[name] = newPool(list)
	}
	return t
}

// addRoute adds a route under its address.
func (t *Table) addRoute(r *Route) {
	t.routes[r.Address] = r
	for _, p := range r.TrafficSplit {
		if lowest, ok := t.minUrgency[p.Service]; !ok || r.Urgency < lowest {
			t.minUrgency[p.Service] = r.Urgency
		}
		if list := t.urgencies[p.Service]; r.TargetLatency > 0 && !slices.Contains(list, r.Urgency) {
			t.urgencies[p.Service] = append(list, r.Urgency)
		}
	}
}

// addServer adds a server under its number. Of two with the same number, the older
// one keeps it at every VM.
func (t *Table) addServer(s *Server) {
	other, taken := t.byNumber[s.Number]
	if !taken || s.StartedAt < other.StartedAt || s.StartedAt == other.StartedAt && s.Name <= other.Name {
		t.byNumber[s.Number] = s
	}
}

// Revision returns the revision of the configuration; 0 if there is none.
func (t *Table) Revision() uint64 { return t.cfg.Revision }

// ServingCount returns the number of servers that take new flows.
func (t *Table) ServingCount() int {
	sum := 0
	for _, p := range t.serving {
		sum += len(p.servers)
	}
	return sum
}

// Serving returns the servers that take new flows, by the name of their service. The
// slices must not be modified.
func (t *Table) Serving() map[string][]*Server {
	all := make(map[string][]*Server, len(t.serving))
	for name, p := range t.serving {
		all[name] = p.servers
	}
	return all
}

// servingOf returns the servers of a service that take new flows.
func (t *Table) servingOf(service string) []*Server {
	if p := t.serving[service]; p != nil {
		return p.servers
	}
	return nil
}

// Route returns the route of a flow.
func (t *Table) Route(key lhflow.Key) (*Route, bool) {
	r, ok := t.routes[key.ServiceAddr()]
	return r, ok
}

// Server returns the server with a number.
func (t *Table) Server(number uint32) (*Server, bool) {
	s, ok := t.byNumber[number]
	return s, ok
}

// Ended reports whether the server with a number has ended.
func (t *Table) Ended(number uint32) bool { return t.ended[number] }

// pickService returns the service for a new flow. All VMs with the same route pick
// the same one.
func (r *Route) pickService(id lhflow.ID) string {
	total := uint64(0)
	for _, p := range r.TrafficSplit {
		total += uint64(p.Weight)
	}
	if total == 0 {
		return r.TrafficSplit[0].Service
	}
	point := lhflow.Rank(id, routeSalt) % total
	for _, p := range r.TrafficSplit {
		if point < uint64(p.Weight) {
			return p.Service
		}
		point -= uint64(p.Weight)
	}
	return r.TrafficSplit[len(r.TrafficSplit)-1].Service
}

// routeSalt makes the choice of a service independent of the ranks of servers.
const routeSalt = 0x726f757465
