package lhplace

import (
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// Server is a backend server of a Table. It is immutable.
type Server struct {
	declared *lhconf.BackendServer
	// service is the service whose Servers list holds this server.
	service *Service
	// number is a copy of the declared one, for comparison in lookups.
	number uint32
	// index is the server's position in the service's list.
	index uint32
	// nextSibling is one more than the position of another server of the service at
	// the same address, of which an index finds the first; 0 if there is none.
	nextSibling uint32
	// evacuated is set if the server's data centre is.
	evacuated bool
}

// Number returns the number that permanently identifies the server.
func (s *Server) Number() uint32 { return s.number }

// Index returns the server's position in the list of its service.
func (s *Server) Index() int { return int(s.index) }

// Detached returns a copy whose service has no lists. A copy of a removed server
// can be kept without keeping its table in memory.
func (s *Server) Detached() *Server {
	detached, declared := *s, *s.declared
	detached.declared, detached.service = &declared, s.service.Detached()
	return &detached
}

// Name returns the declared name.
func (s *Server) Name() string { return s.declared.Name }

// Service returns the service that the server belongs to.
func (s *Server) Service() *Service { return s.service }

// Address returns the address at which the server receives Geneve packets.
func (s *Server) Address() netip.AddrPort { return s.declared.Address }

// Report returns the URL of the server's load report, or an empty string.
func (s *Server) Report() string { return s.declared.Report }

// DataCentre returns the data centre of the server.
func (s *Server) DataCentre() string { return s.declared.DataCentre }

// Weight returns the server's weight in the division of new flows; at least 1.
func (s *Server) Weight() uint32 { return max(s.declared.Weight, 1) }

// Slots returns the number of units of work that the server runs concurrently; at least 1.
func (s *Server) Slots() uint32 { return max(s.declared.Slots, 1) }

// Flows returns the maximum number of flows of the server; 0 means no limit.
func (s *Server) Flows() uint32 { return s.declared.Flows }

// State returns the state of the server declared by operators.
func (s *Server) State() lhconf.State { return s.declared.State }

// Serving reports whether the server takes new flows: neither it is drained nor its data centre
// evacuated.
func (s *Server) Serving() bool { return s.declared.State == lhconf.Serving && !s.evacuated }

// Evacuated reports whether the server's data centre is evacuated.
func (s *Server) Evacuated() bool { return s.evacuated }
