package lhplace

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Table holds the services, servers and kinds of one revision of the configuration.
// It is immutable once built; the zero Table holds no service.
type Table struct {
	revision uint64
	// nextNumber is the number that the first server added after this revision will get.
	nextNumber uint32
	// services is sorted by name.
	services []*Service
	// servers holds the servers of all services in no particular order.
	servers []Server
	// byEndpoint finds services by address, port and protocol.
	byEndpoint hashIndex
	// byNumber finds servers by number, byHost one server of each address, and
	// bySource one of each service and address.
	byNumber, byHost, bySource hashIndex
	// declared is the configuration that the table was built from.
	declared lhconf.Config
}

// NewTable builds the table of a configuration. Kinds and servers of a service that
// is not declared are left out. The table refers to the declarations in cfg, which
// must not be modified afterwards.
func NewTable(cfg *lhconf.Config) *Table {
	if cfg == nil {
		return &Table{}
	}
	return (&Table{}).Next(cfg)
}

// Next returns the table of a configuration that follows the table's own. The new
// table reuses what was built from slices that both configurations share.
func (t *Table) Next(cfg *lhconf.Config) *Table {
	next := &Table{declared: *cfg, revision: cfg.Revision}
	next.declared.Files = nil
	if sameSlice(t.declared.Services, cfg.Services) && sameSlice(t.declared.Servers, cfg.Servers) && sameSlice(t.declared.Kinds, cfg.Kinds) &&
		slices.Equal(t.declared.DataCentres, cfg.DataCentres) {
		next.reuse(t)
	} else {
		next.build(t)
	}
	next.nextNumber = cfg.NextNumber
	for i := range next.servers {
		next.nextNumber = max(next.nextNumber, next.servers[i].number+1)
	}
	return next
}

// sameSlice reports whether two slices are the same part of the same array.
func sameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// reuse copies the contents of a table of the same services, servers and kinds.
func (t *Table) reuse(previous *Table) {
	t.services, t.servers, t.byEndpoint = previous.services, previous.servers, previous.byEndpoint
	t.byNumber, t.byHost, t.bySource = previous.byNumber, previous.byHost, previous.bySource
}

// serviceLookup finds a service by name.
type serviceLookup func(name string) (*Service, bool)

// build builds the table from its declarations and reuses unchanged parts of the
// previous one.
func (t *Table) build(previous *Table) {
	sameServices := sameSlice(t.declared.Services, previous.declared.Services)
	var lookup serviceLookup
	var previousServers []Server
	if sameServices {
		t.copyServices(previous)
		lookup, previousServers = t.findService, previous.servers
	} else {
		lookup = t.addServices()
	}
	t.addServers(lookup, previousServers)
	if t.reuseSiblings(previous) {
		t.byNumber, t.byHost, t.bySource = previous.byNumber, previous.byHost, previous.bySource
	} else {
		t.indexServers()
	}
	if sameServices && sameSlice(t.declared.Kinds, previous.declared.Kinds) {
		t.copyKinds(previous)
	} else {
		t.addKinds(lookup)
	}
}

// copyServices copies the services without their servers and kinds.
func (t *Table) copyServices(previous *Table) {
	t.byEndpoint = previous.byEndpoint
	all := make([]Service, len(previous.services))
	t.services = make([]*Service, len(previous.services))
	for i, s := range previous.services {
		all[i] = Service{declared: s.declared, index: i}
		t.services[i] = &all[i]
	}
}

func (t *Table) copyKinds(previous *Table) {
	for i, s := range previous.services {
		t.services[i].kinds = s.kinds
	}
}

// findService is a serviceLookup that needs only the sorted list of services.
func (t *Table) findService(name string) (*Service, bool) {
	i, ok := slices.BinarySearchFunc(t.services, name, func(s *Service, name string) int { return cmp.Compare(s.Name(), name) })
	if !ok {
		return nil, false
	}
	return t.services[i], true
}

// reuseSiblings reports whether the servers have the same positions, numbers,
// services and addresses as in the previous table. If so, it copies the links
// between siblings.
func (t *Table) reuseSiblings(previous *Table) bool {
	if !sameSlice(t.declared.Services, previous.declared.Services) || len(t.servers) != len(previous.servers) {
		return false
	}
	for i := range t.servers {
		a, b := &t.servers[i], &previous.servers[i]
		if a.number != b.number || a.service.index != b.service.index || a.Address() != b.Address() {
			return false
		}
	}
	for i := range t.servers {
		t.servers[i].nextSibling = previous.servers[i].nextSibling
	}
	return true
}

// Revision returns the revision that the table was built from.
func (t *Table) Revision() uint64 { return t.revision }

// Service returns the service of a flow.
func (t *Table) Service(key lhflow.Key) (*Service, bool) {
	for h := hashEndpoint(key.Service, key.ServicePort, key.Proto); ; h++ {
		position, ok := t.byEndpoint.lookup(h)
		if !ok {
			return nil, false
		}
		if s := t.services[position]; s.listensOn(key.Service, key.ServicePort, key.Proto) {
			return s, true
		}
	}
}

// Services returns all services in the order of their names. The slice must not be modified.
func (t *Table) Services() []*Service { return t.services }

// Server returns the server with the given number. It is not found if it is no
// longer declared or if it now belongs to another service.
func (t *Table) Server(number uint32) (*Server, bool) {
	for h := hashNumber(number); ; h++ {
		position, ok := t.byNumber.lookup(h)
		if !ok {
			return nil, false
		}
		if s := &t.servers[position]; s.Number() == number {
			return s, true
		}
	}
}

// Ahead reports whether a server's number was assigned by a later revision than the table's.
// A number that is neither ahead nor found belongs to a server that was removed.
func (t *Table) Ahead(number uint32) bool { return number >= t.nextNumber }

// ServerAt returns the number of the server of s that sends from addr. Geneve
// varies the source port, so the port decides only if several servers of the
// service share an address.
func (t *Table) ServerAt(addr netip.AddrPort, s *Service) (uint32, bool) {
	if s == nil {
		return 0, false
	}
	a := addr.Addr().Unmap()
	for h := hashSource(s, a); ; h++ {
		position, ok := t.bySource.lookup(h)
		if !ok {
			return 0, false
		}
		if found := &t.servers[position]; found.service == s && found.Address().Addr().Unmap() == a {
			return t.numberAtPort(found, addr.Port())
		}
	}
}

// KnownHost reports whether any server sends from the address.
func (t *Table) KnownHost(a netip.Addr) bool {
	a = a.Unmap()
	for h := hashHost(a); ; h++ {
		position, ok := t.byHost.lookup(h)
		if !ok {
			return false
		}
		if t.servers[position].Address().Addr().Unmap() == a {
			return true
		}
	}
}

// numberAtPort returns the number of the server with a port among first and its
// siblings, which are the servers of a service at an address. A server without
// siblings matches any port.
func (t *Table) numberAtPort(first *Server, port uint16) (uint32, bool) {
	if first.nextSibling == 0 {
		return first.number, true
	}
	for s := first; ; s = &t.servers[s.nextSibling-1] {
		if s.Address().Port() == port {
			return s.number, true
		}
		if s.nextSibling == 0 {
			return 0, false
		}
	}
}

func (t *Table) addServices() serviceLookup {
	declared := t.declared.Services
	byName := make(map[string]*Service, len(declared))
	all := make([]Service, len(declared))
	t.services = make([]*Service, len(declared))
	for i := range declared {
		s := &all[i]
		s.declared = &declared[i]
		t.services[i] = s
		byName[s.Name()] = s
	}
	slices.SortFunc(t.services, func(a, b *Service) int { return cmp.Compare(a.Name(), b.Name()) })
	t.byEndpoint = newHashIndex(len(t.services))
	for i, s := range t.services {
		s.index = i
		address, port, proto := s.Address().Addr().As16(), s.Address().Port(), s.Proto()
		t.byEndpoint.put(hashEndpoint(address, port, proto), i, func(position int) bool {
			return t.services[position].listensOn(address, port, proto)
		})
	}
	return func(name string) (*Service, bool) {
		s, ok := byName[name]
		return s, ok
	}
}

// addServers adds the declared servers. A server that is also in previous keeps its
// service there without a lookup; previous is searched in the order of names.
func (t *Table) addServers(lookup serviceLookup, previous []Server) {
	declared := t.declared.Servers
	t.servers = make([]Server, 0, len(declared))
	counts := make([]int, len(t.services))
	evacuated := evacuatedNames(t.declared.DataCentres)
	for i := range declared {
		d := &declared[i]
		for len(previous) > 0 && previous[0].Name() < d.Name {
			previous = previous[1:]
		}
		var s *Service
		if len(previous) > 0 && previous[0].Name() == d.Name && previous[0].declared.Service == d.Service {
			s = t.services[previous[0].service.index]
		} else if s, _ = lookup(d.Service); s == nil {
			continue
		}
		t.servers = append(t.servers, Server{declared: d, service: s, number: d.Number, evacuated: evacuated[d.DataCentre]})
		counts[s.index]++
	}
	t.listServers(counts)
}

// listServers builds the server list of each service. counts holds the lengths of
// the lists by the index of the service.
func (t *Table) listServers(counts []int) {
	rest := make([]*Server, len(t.servers))
	for i, s := range t.services {
		s.servers, rest = rest[:0:counts[i]], rest[counts[i]:]
	}
	for i := range t.servers {
		s := t.servers[i].service
		s.servers = append(s.servers, &t.servers[i])
	}
	for _, s := range t.services {
		slices.SortFunc(s.servers, func(a, b *Server) int { return cmp.Compare(a.number, b.number) })
		for j, server := range s.servers {
			server.index = uint32(j)
		}
		s.evacuated = s.hasEvacuatedServersOnly()
	}
}

func (t *Table) indexServers() {
	count := len(t.servers)
	t.byNumber, t.byHost, t.bySource = newHashIndex(count), newHashIndex(count), newHashIndex(count)
	for i := range t.servers {
		s := &t.servers[i]
		address := s.Address().Addr().Unmap()
		t.byNumber.put(hashNumber(s.number), i, func(position int) bool {
			return t.servers[position].number == s.number
		})
		t.byHost.put(hashHost(address), i, func(position int) bool {
			return t.servers[position].Address().Addr().Unmap() == address
		})
		first, found := t.bySource.put(hashSource(s.service, address), i, func(position int) bool {
			return t.servers[position].service == s.service && t.servers[position].Address().Addr().Unmap() == address
		})
		if found {
			s.nextSibling = uint32(first + 1)
		}
	}
}

func (t *Table) addKinds(lookup serviceLookup) {
	declared := t.declared.Kinds
	numbers := numberKinds(declared)
	all := make([]Kind, len(declared))
	for i := range declared {
		k := &all[i]
		k.declared, k.number = &declared[i], numbers[i]
		if s, ok := lookup(k.declared.Service); ok {
			s.kinds = append(s.kinds, k)
		}
	}
	for _, s := range t.services {
		slices.SortStableFunc(s.kinds, func(a, b *Kind) int { return cmp.Compare(b.prefixLength(), a.prefixLength()) })
	}
}
