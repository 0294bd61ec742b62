package lhmark

import (
	"net/netip"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Table is what a VM knows at one moment. It is never changed.
type Table struct {
	cfg Config
	// routes finds the routes of cfg by their addresses.
	routes map[netip.AddrPort]*Route
	// numbers finds the server of a mark.
	numbers map[uint32]*Server
	// serving holds the servers of each service that take new flows, by name.
	serving map[string][]*Server
	// gone holds the numbers of servers that have ended, which are in numbers as well.
	gone map[uint32]bool
	// least holds the urgency of the least urgent route to each service.
	least map[string]lhconf.Urgency
}

// newTable returns the table of a configuration with the servers that there are and
// those that have ended.
func newTable(cfg Config, present, ended []*Server) *Table {
	t := &Table{
		cfg:     cfg,
		routes:  make(map[netip.AddrPort]*Route, len(cfg.Routes)),
		numbers: make(map[uint32]*Server, len(present)+len(ended)),
		serving: make(map[string][]*Server),
		gone:    make(map[uint32]bool, len(ended)),
		least:   make(map[string]lhconf.Urgency),
	}
	for i := range cfg.Routes {
		t.route(&cfg.Routes[i])
	}
	for _, s := range ended {
		t.number(s)
	}
	for _, s := range present {
		t.number(s)
	}
	for _, s := range ended {
		t.gone[s.Number] = t.numbers[s.Number] == s
	}
	for _, s := range present {
		// A server whose number is another's gets no flows: its marks would lead there.
		if t.numbers[s.Number] == s && s.State == lhconf.Serving {
			t.serving[s.Service] = append(t.serving[s.Service], s)
		}
	}
	for _, list := range t.serving {
		slices.SortFunc(list, func(a, b *Server) int { return strings.Compare(a.Name, b.Name) })
	}
	return t
}

// route enters a route under its address.
func (t *Table) route(r *Route) {
	t.routes[r.Address] = r
	for _, p := range r.Parts {
		if least, ok := t.least[p.Service]; !ok || r.Urgency < least {
			t.least[p.Service] = r.Urgency
		}
	}
}

// number enters a server under its number. Of two with the same, the older keeps it
// at every VM.
func (t *Table) number(s *Server) {
	o, taken := t.numbers[s.Number]
	if !taken || s.Born < o.Born || s.Born == o.Born && s.Name <= o.Name {
		t.numbers[s.Number] = s
	}
}

// Revision returns the revision of the configuration; 0 when there is none.
func (t *Table) Revision() uint64 { return t.cfg.Revision }

// Servers returns how many servers take new flows.
func (t *Table) Servers() int {
	sum := 0
	for _, list := range t.serving {
		sum += len(list)
	}
	return sum
}

// Serving returns the servers that take new flows, by the name of their service. The
// caller must not change the map.
func (t *Table) Serving() map[string][]*Server { return t.serving }

// Route returns the route of a flow.
func (t *Table) Route(key lhflow.Key) (*Route, bool) {
	r, ok := t.routes[key.ServiceAddr()]
	return r, ok
}

// Server returns the server with a number.
func (t *Table) Server(number uint32) (*Server, bool) {
	s, ok := t.numbers[number]
	return s, ok
}

// Gone reports whether the server with a number has ended.
func (t *Table) Gone(number uint32) bool { return t.gone[number] }

// service returns the service that a new flow goes to. All VMs with the same route
// choose the same one.
func (r *Route) service(id lhflow.ID) string {
	total := uint64(0)
	for _, p := range r.Parts {
		total += uint64(p.Weight)
	}
	if total == 0 {
		return r.Parts[0].Service
	}
	at := lhflow.Rank(id, routeSalt) % total
	for _, p := range r.Parts {
		if at < uint64(p.Weight) {
			return p.Service
		}
		at -= uint64(p.Weight)
	}
	return r.Parts[len(r.Parts)-1].Service
}

// routeSalt parts the choice of a service from the ranks of servers.
const routeSalt = 0x726f757465
