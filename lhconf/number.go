package lhconf

import (
	"net/netip"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// firstNumber is the number of the first backend server that is ever declared.
const firstNumber = 1

// identity is what a backend server's number stands for. Packets of a flow follow
// the number, so a server that changes any of this is another server.
type identity struct {
	name     string
	address  netip.AddrPort
	service  string
	listener netip.AddrPort
	proto    lhflow.Proto
}

// Assign returns next with a number for each backend server. A server that also
// stands in previous keeps its number while its name, its address and the address
// and protocol of its service stay the same. Any other gets a number that has
// never been given before. Assign changes neither argument.
func Assign(previous, next Config) Config {
	given := make(map[identity]uint32, len(previous.Servers))
	fresh := max(previous.NextNumber, firstNumber)
	for id, s := range identities(previous) {
		given[id] = s.Number
		fresh = max(fresh, s.Number+1)
	}
	assigned := next
	assigned.Servers = slices.Clone(next.Servers)
	assigned.NextNumber = fresh
	for id, s := range identities(assigned) {
		s.Number = given[id]
		if s.Number == 0 {
			s.Number = assigned.NextNumber
			assigned.NextNumber++
		}
	}
	return assigned
}

// identities yields the servers of a configuration with their identities.
func identities(c Config) func(yield func(identity, *BackendServer) bool) {
	services := make(map[string]Service, len(c.Services))
	for _, s := range c.Services {
		services[s.Name] = s
	}
	return func(yield func(identity, *BackendServer) bool) {
		for i := range c.Servers {
			s := &c.Servers[i]
			service := services[s.Service]
			id := identity{
				name:     s.Name,
				address:  s.Address,
				service:  s.Service,
				listener: service.Address,
				proto:    service.Proto,
			}
			if !yield(id, s) {
				return
			}
		}
	}
}
