package lhplace

import (
	"net/netip"
	"sort"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Table is what one revision of the configuration says about packets. It is
// never changed after NewTable; the zero Table holds no service.
type Table struct {
	revision uint64
	// next is the number that the first server after this revision will get.
	next uint32
	// services holds every service at its address, port and protocol.
	services map[endpoint]*Service
	// servers holds every server at its number.
	servers map[uint32]*Server
	// sources holds, by service and source address, the servers of that service.
	sources map[source]*Server
	// hosts holds every address that a server sends from.
	hosts map[netip.Addr]bool
	// list is sorted by name.
	list []*Service
}

// endpoint is where callers reach a service.
type endpoint struct {
	address [16]byte
	port    uint16
	proto   lhflow.Proto
}

// source is where a server sends from. A port of 0 stands for any port, where
// the address alone names one server of the service.
type source struct {
	service *Service
	address netip.AddrPort
}

// NewTable builds the table of a configuration. Kinds and servers of a service
// that is not declared are left out.
func NewTable(cfg *lhconf.Config) *Table {
	t := &Table{
		services: map[endpoint]*Service{},
		servers:  map[uint32]*Server{},
		sources:  map[source]*Server{},
		hosts:    map[netip.Addr]bool{},
	}
	if cfg == nil {
		return t
	}
	t.revision = cfg.Revision
	t.next = cfg.NextNumber
	byName := t.addServices(cfg.Services)
	t.addServers(cfg.Servers, byName)
	addKinds(cfg.Kinds, byName)
	return t
}

// Revision returns the revision that the table was built from.
func (t *Table) Revision() uint64 { return t.revision }

// Service returns the service that a flow is for.
func (t *Table) Service(key lhflow.Key) (*Service, bool) {
	s, ok := t.services[endpoint{address: key.Service, port: key.ServicePort, proto: key.Proto}]
	return s, ok
}

// Services returns all services in the order of their names. The caller must not
// change the slice.
func (t *Table) Services() []*Service { return t.list }

// Server returns the server with the given number. It is absent when it is
// declared no more or stands behind another service now.
func (t *Table) Server(number uint32) (*Server, bool) {
	s, ok := t.servers[number]
	return s, ok
}

// Ahead reports whether a server's number was given by a later revision than the
// table's. A number that is neither ahead nor found is of a server that was removed.
func (t *Table) Ahead(number uint32) bool { return number >= t.next }

// ServerAt returns the number of the server of s that sends from addr. Geneve
// varies the source port, so the port decides only where several servers of the
// service share an address.
func (t *Table) ServerAt(addr netip.AddrPort, s *Service) (uint32, bool) {
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	found, ok := t.sources[source{service: s, address: addr}]
	if !ok {
		found = t.sources[source{service: s, address: netip.AddrPortFrom(addr.Addr(), 0)}]
	}
	if found == nil {
		return 0, false
	}
	return found.Number(), true
}

// Known reports whether any server sends from the address.
func (t *Table) Known(a netip.Addr) bool { return t.hosts[a.Unmap()] }

func (t *Table) addServices(declared []lhconf.Service) map[string]*Service {
	byName := make(map[string]*Service, len(declared))
	for _, d := range declared {
		s := &Service{declared: d}
		byName[d.Name] = s
		t.services[endpoint{address: d.Address.Addr().As16(), port: d.Address.Port(), proto: d.Proto}] = s
		t.list = append(t.list, s)
	}
	sort.Slice(t.list, func(i, j int) bool { return t.list[i].Name() < t.list[j].Name() })
	for i, s := range t.list {
		s.index = i
	}
	return byName
}

func (t *Table) addServers(declared []lhconf.BackendServer, byName map[string]*Service) {
	for _, d := range declared {
		s, ok := byName[d.Service]
		if !ok {
			continue
		}
		server := &Server{declared: d, service: s}
		t.servers[d.Number] = server
		t.next = max(t.next, d.Number+1)
		s.servers = append(s.servers, server)
		t.addSource(server)
	}
	for _, s := range t.list {
		sort.Slice(s.servers, func(i, j int) bool { return s.servers[i].Number() < s.servers[j].Number() })
	}
}

// addSource enters a server by its exact address and by its address with any
// port. A second server at the same address makes the latter entry nil, since
// it then names no single server.
func (t *Table) addSource(s *Server) {
	address := s.Address().Addr().Unmap()
	t.hosts[address] = true
	t.sources[source{service: s.service, address: netip.AddrPortFrom(address, s.Address().Port())}] = s
	anyPort := source{service: s.service, address: netip.AddrPortFrom(address, 0)}
	if _, shared := t.sources[anyPort]; shared {
		t.sources[anyPort] = nil
		return
	}
	t.sources[anyPort] = s
}

func addKinds(declared []lhconf.Kind, byName map[string]*Service) {
	numbers := numberKinds(declared)
	for _, d := range declared {
		s, ok := byName[d.Service]
		if !ok {
			continue
		}
		s.kinds = append(s.kinds, &Kind{declared: d, number: numbers[kindName(d)]})
	}
	for _, s := range byName {
		sort.SliceStable(s.kinds, func(i, j int) bool {
			return s.kinds[i].prefixLength() > s.kinds[j].prefixLength()
		})
	}
}
