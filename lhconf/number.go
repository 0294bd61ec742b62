package lhconf

import (
	"net/netip"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// firstNumber is the number of the first backend server declared in a new system.
const firstNumber = 1

// identity is what a number identifies permanently. Packets of existing flows are
// forwarded by number, so a server with any of these changed gets a new number.
type identity struct {
	name     string
	address  netip.AddrPort
	service  string
	listener netip.AddrPort
	proto    lhflow.Proto
}

// AssignNumbers returns next with a number for each backend server. A server keeps its
// number from previous if its name, its address, its service and the address and
// protocol of that service are the same. Any other server gets a number that has never
// been used. AssignNumbers modifies neither argument.
func AssignNumbers(previous, next Config) Config {
	numbers := make(map[identity]uint32, len(previous.Servers))
	nextNumber := max(previous.NextNumber, firstNumber)
	for id, s := range identities(previous) {
		numbers[id] = s.Number
		nextNumber = max(nextNumber, s.Number+1)
	}
	assigned := next
	assigned.Servers = slices.Clone(next.Servers)
	assigned.NextNumber = nextNumber
	for id, s := range identities(assigned) {
		s.Number = numbers[id]
		if s.Number == 0 {
			s.Number = assigned.NextNumber
			assigned.NextNumber++
		}
	}
	return assigned
}

// identities iterates over the servers of a configuration with their identities.
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
