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
	// numbers finds servers by number, hosts one of each address, sources by service,
	// address and port, and alone one of each service and address.
	numbers, hosts, sources, alone index
	// shared holds the servers in alone that are not the only one of their service
	// at their address.
	shared map[*Server]bool
}

// NewTable builds the table of a configuration. Kinds and servers of a service
// that is not declared are left out. The table refers to what the configuration
// declares, which must not be changed afterwards.
func NewTable(cfg *lhconf.Config) *Table {
	t := &Table{}
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
	addr = netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())
	for h := hashSource(s, addr); ; h++ {
		place, ok := t.sources.at(h)
		if !ok {
			return t.onlyAt(addr.Addr(), s)
		}
		if found := &t.servers[place]; found.service == s && found.source() == addr {
			return found.Number(), true
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
		if t.servers[place].source().Addr() == a {
			return true
		}
	}
}

// onlyAt returns the number of the only server that s has at an address.
func (t *Table) onlyAt(a netip.Addr, s *Service) (uint32, bool) {
	for h := hashSource(s, netip.AddrPortFrom(a, 0)); ; h++ {
		place, ok := t.alone.at(h)
		if !ok {
			return 0, false
		}
		found := &t.servers[place]
		if found.service != s || found.source().Addr() != a {
			continue
		}
		if t.shared[found] {
			return 0, false
		}
		return found.Number(), true
	}
}

func (t *Table) addServices(declared []lhconf.Service) map[string]*Service {
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
	return byName
}

func (t *Table) addServers(declared []lhconf.BackendServer, byName map[string]*Service) {
	t.servers = make([]Server, 0, len(declared))
	counts := make([]int, len(t.list))
	for i := range declared {
		d := &declared[i]
		s, ok := byName[d.Service]
		if !ok {
			continue
		}
		t.servers = append(t.servers, Server{declared: d, service: s, number: d.Number})
		t.next = max(t.next, d.Number+1)
		counts[s.index]++
	}
	t.listServers(counts)
	t.indexServers()
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
	t.numbers, t.hosts, t.sources, t.alone = newIndex(count), newIndex(count), newIndex(count), newIndex(count)
	t.shared = map[*Server]bool{}
	for i := range t.servers {
		t.numbers.put(hashNumber(t.servers[i].Number()), i, func(place int) bool {
			return t.servers[place].Number() == t.servers[i].Number()
		})
		t.addSource(i)
	}
}

// addSource enters a server by its address, with its own port and with any.
func (t *Table) addSource(place int) {
	s := &t.servers[place]
	address := s.source()
	host := netip.AddrPortFrom(address.Addr(), 0)
	t.hosts.put(hashHost(address.Addr()), place, func(other int) bool {
		return t.servers[other].source().Addr() == address.Addr()
	})
	t.sources.put(hashSource(s.service, address), place, func(other int) bool {
		return t.servers[other].service == s.service && t.servers[other].source() == address
	})
	_, shared := t.alone.put(hashSource(s.service, host), place, func(other int) bool {
		return t.servers[other].service == s.service && t.servers[other].source().Addr() == address.Addr()
	})
	if shared {
		t.shared[s] = true
	}
}

func addKinds(declared []lhconf.Kind, byName map[string]*Service) {
	numbers := numberKinds(declared)
	all := make([]Kind, len(declared))
	for i := range declared {
		k := &all[i]
		k.declared, k.number = &declared[i], numbers[i]
		if s, ok := byName[k.declared.Service]; ok {
			s.kinds = append(s.kinds, k)
		}
	}
	for _, s := range byName {
		slices.SortStableFunc(s.kinds, func(a, b *Kind) int { return cmp.Compare(b.prefixLength(), a.prefixLength()) })
	}
}
