package lhplace

import (
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// Server is a backend server as the tables hold it. It is never changed.
type Server struct {
	declared *lhconf.BackendServer
	// service is the service whose Servers list holds this server.
	service *Service
	// number is the declared one, kept where lookups compare it.
	number uint32
	// index is the server's place in the service's list.
	index uint32
	// sibling is one more than the place of another server of the service at the same
	// address, of which an index finds the first; 0 where there is none.
	sibling uint32
}

// Number returns the number that identifies the server for ever.
func (s *Server) Number() uint32 { return s.number }

// Index returns the server's place in the list of its service.
func (s *Server) Index() int { return int(s.index) }

// Detached returns a copy whose service has no lists, for those who keep a server
// that was removed: it holds nothing else of its table in memory.
func (s *Server) Detached() *Server {
	detached, declared := *s, *s.declared
	detached.declared, detached.service = &declared, s.service.Detached()
	return &detached
}

// Name returns the declared name.
func (s *Server) Name() string { return s.declared.Name }

// Service returns the service that the server stands behind.
func (s *Server) Service() *Service { return s.service }

// Address returns where the server receives Geneve packets.
func (s *Server) Address() netip.AddrPort { return s.declared.Address }

// Report returns the URL of the server's load report; empty where there is none.
func (s *Server) Report() string { return s.declared.Report }

// DataCentre returns the data centre that the server stands in.
func (s *Server) DataCentre() string { return s.declared.DataCentre }

// Weight returns the server's part of new flows against the others; at least 1.
func (s *Server) Weight() uint32 { return max(s.declared.Weight, 1) }

// Slots returns how many units of work the server carries out at a time; at least 1.
func (s *Server) Slots() uint32 { return max(s.declared.Slots, 1) }

// Flows returns how many flows the server holds at most; 0 is no limit.
func (s *Server) Flows() uint32 { return s.declared.Flows }

// State returns what operators want of the server.
func (s *Server) State() lhconf.State { return s.declared.State }

// Serving reports whether the server takes new flows.
func (s *Server) Serving() bool { return s.declared.State == lhconf.Serving }
