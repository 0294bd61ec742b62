package lhplace

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Table is what one revision of the configuration says about packets. It is
// never changed after NewTable; the zero Table holds no service.
type Table struct {
	revision uint64
	// next is the number that the first server after this revision will get.
	next uint32
	// list is sorted by name.
	list []*Service
	// servers holds the servers of all services, in no order.
	servers []Server
	// services finds services in list by address, port and protocol.
	services index
	// numbers finds servers by number, hosts one of each address, and sources one of
	// each service and address.
	numbers, hosts, sources index
	// declared is what the table was built from.
	declared lhconf.Config
}

// NewTable builds the table of a configuration. Kinds and servers of a service
// that is not declared are left out. The table refers to what the configuration
// declares, which must not be changed afterwards.
func NewTable(cfg *lhconf.Config) *Table {
	if cfg == nil {
		return &Table{}
	}
	return (&Table{}).Next(cfg)
}

// Next is NewTable for a configuration that follows the table's. The new table
// takes over what was built from slices that both configurations share.
func (t *Table) Next(cfg *lhconf.Config) *Table {
	next := &Table{declared: *cfg, revision: cfg.Revision}
	next.declared.Files = nil
	if shares(t.declared.Services, cfg.Services) && shares(t.declared.Servers, cfg.Servers) && shares(t.declared.Kinds, cfg.Kinds) {
		next.takeOver(t)
	} else {
		next.build(t)
	}
	next.next = cfg.NextNumber
	for i := range next.servers {
		next.next = max(next.next, next.servers[i].number+1)
	}
	return next
}

// shares reports whether two slices are the same part of the same array.
func shares[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// takeOver makes the table one of the same services, servers and kinds as before.
func (t *Table) takeOver(before *Table) {
	t.list, t.servers, t.services = before.list, before.servers, before.services
	t.numbers, t.hosts, t.sources = before.numbers, before.hosts, before.sources
}

// finder finds the service with a name.
type finder func(name string) (*Service, bool)

// build makes the table from what is declared.
func (t *Table) build(before *Table) {
	same := shares(t.declared.Services, before.declared.Services)
	var find finder
	var kept []Server
	if same {
		t.copyServices(before)
		find, kept = t.find, before.servers
	} else {
		find = t.addServices()
	}
	t.addServers(find, kept)
	if t.places(before) {
		t.numbers, t.hosts, t.sources = before.numbers, before.hosts, before.sources
	} else {
		t.indexServers()
	}
	if same && shares(t.declared.Kinds, before.declared.Kinds) {
		t.copyKinds(before)
	} else {
		t.addKinds(find)
	}
}

// copyServices takes over the services, without their servers and kinds.
func (t *Table) copyServices(before *Table) {
	t.services = before.services
	all := make([]Service, len(before.list))
	t.list = make([]*Service, len(before.list))
	for i, s := range before.list {
		all[i] = Service{declared: s.declared, index: i}
		t.list[i] = &all[i]
	}
}

func (t *Table) copyKinds(before *Table) {
	for i, s := range before.list {
		t.list[i].kinds = s.kinds
	}
}

// find is a finder that needs no more than the list.
func (t *Table) find(name string) (*Service, bool) {
	i, ok := slices.BinarySearchFunc(t.list, name, func(s *Service, name string) int { return cmp.Compare(s.Name(), name) })
	if !ok {
		return nil, false
	}
	return t.list[i], true
}

// places reports whether the servers have the places, numbers, services and addresses
// of those before. It then takes over which are siblings.
func (t *Table) places(before *Table) bool {
	if !shares(t.declared.Services, before.declared.Services) || len(t.servers) != len(before.servers) {
		return false
	}
	for i := range t.servers {
		a, b := &t.servers[i], &before.servers[i]
		if a.number != b.number || a.service.index != b.service.index || a.Address() != b.Address() {
			return false
		}
	}
	for i := range t.servers {
		t.servers[i].sibling = before.servers[i].sibling
	}
	return true
}

// Revision returns the revision that the table was built from.
func (t *Table) Revision() uint64 { return t.revision }

// Service returns the service that a flow is for.
func (t *Table) Service(key lhflow.Key) (*Service, bool) {
	for h := hashEndpoint(key.Service, key.ServicePort, key.Proto); ; h++ {
		place, ok := t.services.at(h)
		if !ok {
			return nil, false
		}
		if s := t.list[place]; s.at(key.Service, key.ServicePort, key.Proto) {
			return s, true
		}
	}
}

// Services returns all services in the order of their names. The caller must not
// change the slice.
func (t *Table) Services() []*Service { return t.list }

// Server returns the server with the given number. It is absent when it is
// declared no more or stands behind another service now.
func (t *Table) Server(number uint32) (*Server, bool) {
	for h := hashNumber(number); ; h++ {
		place, ok := t.numbers.at(h)
		if !ok {
			return nil, false
		}
		if s := &t.servers[place]; s.Number() == number {
			return s, true
		}
	}
}

// Ahead reports whether a server's number was given by a later revision than the
// table's. A number that is neither ahead nor found is of a server that was removed.
func (t *Table) Ahead(number uint32) bool { return number >= t.next }

// ServerAt returns the number of the server of s that sends from addr. Geneve
// varies the source port, so the port decides only where several servers of the
// service share an address.
func (t *Table) ServerAt(addr netip.AddrPort, s *Service) (uint32, bool) {
	if s == nil {
		return 0, false
	}
	a := addr.Addr().Unmap()
	for h := hashSource(s, a); ; h++ {
		place, ok := t.sources.at(h)
		if !ok {
			return 0, false
		}
		if found := &t.servers[place]; found.service == s && found.Address().Addr().Unmap() == a {
			return t.sibling(found, addr.Port())
		}
	}
}

// Known reports whether any server sends from the address.
func (t *Table) Known(a netip.Addr) bool {
	a = a.Unmap()
	for h := hashHost(a); ; h++ {
		place, ok := t.hosts.at(h)
		if !ok {
			return false
		}
		if t.servers[place].Address().Addr().Unmap() == a {
			return true
		}
	}
}

// sibling returns the number of that server with a port, first and its siblings being
// those of a service at an address; a server without siblings has any port.
func (t *Table) sibling(first *Server, port uint16) (uint32, bool) {
	if first.sibling == 0 {
		return first.number, true
	}
	for s := first; ; s = &t.servers[s.sibling-1] {
		if s.Address().Port() == port {
			return s.number, true
		}
		if s.sibling == 0 {
			return 0, false
		}
	}
}

func (t *Table) addServices() finder {
	declared := t.declared.Services
	byName := make(map[string]*Service, len(declared))
	all := make([]Service, len(declared))
	t.list = make([]*Service, len(declared))
	for i := range declared {
		s := &all[i]
		s.declared = &declared[i]
		t.list[i] = s
		byName[s.Name()] = s
	}
	slices.SortFunc(t.list, func(a, b *Service) int { return cmp.Compare(a.Name(), b.Name()) })
	t.services = newIndex(len(t.list))
	for i, s := range t.list {
		s.index = i
		address, port, proto := s.Address().Addr().As16(), s.Address().Port(), s.Proto()
		t.services.put(hashEndpoint(address, port, proto), i, func(place int) bool {
			return t.list[place].at(address, port, proto)
		})
	}
	return func(name string) (*Service, bool) {
		s, ok := byName[name]
		return s, ok
	}
}

// addServers enters the declared servers. Those of kept stand behind the services that
// they had; they are looked through in the order of names.
func (t *Table) addServers(find finder, kept []Server) {
	declared := t.declared.Servers
	t.servers = make([]Server, 0, len(declared))
	counts := make([]int, len(t.list))
	for i := range declared {
		d := &declared[i]
		for len(kept) > 0 && kept[0].Name() < d.Name {
			kept = kept[1:]
		}
		var s *Service
		if len(kept) > 0 && kept[0].Name() == d.Name && kept[0].declared.Service == d.Service {
			s = t.list[kept[0].service.index]
		} else if s, _ = find(d.Service); s == nil {
			continue
		}
		t.servers = append(t.servers, Server{declared: d, service: s, number: d.Number})
		counts[s.index]++
	}
	t.listServers(counts)
}

// listServers gives each service the list of its servers, of which counts has the
// number by the service's index.
func (t *Table) listServers(counts []int) {
	rest := make([]*Server, len(t.servers))
	for i, s := range t.list {
		s.servers, rest = rest[:0:counts[i]], rest[counts[i]:]
	}
	for i := range t.servers {
		s := t.servers[i].service
		s.servers = append(s.servers, &t.servers[i])
	}
	for _, s := range t.list {
		slices.SortFunc(s.servers, func(a, b *Server) int { return cmp.Compare(a.number, b.number) })
		for j, server := range s.servers {
			server.index = uint32(j)
		}
	}
}

func (t *Table) indexServers() {
	count := len(t.servers)
	t.numbers, t.hosts, t.sources = newIndex(count), newIndex(count), newIndex(count)
	for i := range t.servers {
		s := &t.servers[i]
		address := s.Address().Addr().Unmap()
		t.numbers.put(hashNumber(s.number), i, func(place int) bool {
			return t.servers[place].number == s.number
		})
		t.hosts.put(hashHost(address), i, func(place int) bool {
			return t.servers[place].Address().Addr().Unmap() == address
		})
		first, found := t.sources.put(hashSource(s.service, address), i, func(place int) bool {
			return t.servers[place].service == s.service && t.servers[place].Address().Addr().Unmap() == address
		})
		if found {
			s.sibling = uint32(first + 1)
		}
	}
}

func (t *Table) addKinds(find finder) {
	declared := t.declared.Kinds
	numbers := numberKinds(declared)
	all := make([]Kind, len(declared))
	for i := range declared {
		k := &all[i]
		k.declared, k.number = &declared[i], numbers[i]
		if s, ok := find(k.declared.Service); ok {
			s.kinds = append(s.kinds, k)
		}
	}
	for _, s := range t.list {
		slices.SortStableFunc(s.kinds, func(a, b *Kind) int { return cmp.Compare(b.prefixLength(), a.prefixLength()) })
	}
}
