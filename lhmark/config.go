package lhmark

import (
	"net/netip"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// Config is what operators have declared, in one revision.
type Config struct {
	// Revision grows with each change, in steps of any size; 0 is no configuration.
	Revision uint64
	Routes   []Route
	// Idle is the silence after which an open flow may be given up; 0 is no bound.
	Idle time.Duration
}

// Route is an address and port that callers connect to.
type Route struct {
	Name    string
	Address netip.AddrPort
	// Parts say which services new flows go to; there is at least one.
	Parts []Part
	// Repeatable is set where a caller may send a request again that has run.
	Repeatable bool
	// Urgency orders kinds of work: a higher one is refused later.
	Urgency lhconf.Urgency
	// Target is the time within which requests should be answered; 0 for none.
	Target time.Duration
}

// Part is a service's part of the new flows of a route.
type Part struct {
	Service string
	Weight  uint32
}

// Server is a backend server with what it says about its start. Its Number is the
// mark of its flows, and servers that exist at the same time may share one.
type Server struct {
	lhconf.BackendServer
	// Target is the number that the server is addressed by.
	Target uint64
	// Born is when the server started in Unix milliseconds; 0 when unknown.
	Born int64
	// Warmup is how much longer the server is slow after its start.
	Warmup time.Duration
}

// equal reports whether both describe the same run of a server in the same state.
// The rest of the warm-up differs with each report.
func (s *Server) equal(o *Server) bool {
	return s.BackendServer == o.BackendServer && s.Target == o.Target && s.Born == o.Born
}
