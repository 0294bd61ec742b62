package lhmark

import (
	"net/netip"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// Config is one revision of the configuration declared by operators.
type Config struct {
	// Revision increases with each change, by any amount; 0 means no configuration.
	Revision uint64
	Routes   []Route
	// Services holds the services for which something is declared.
	Services []ServiceOptions
	// IdleTimeout is the silence after which an open flow may be dropped; 0 leaves it to
	// the Engine.
	IdleTimeout time.Duration
}

// Route is an address and port that callers connect to.
type Route struct {
	Name    string
	Address netip.AddrPort
	// TrafficSplit lists the services that new flows are divided over; there is at least one.
	TrafficSplit []ServiceWeight
	// Idempotent is set if a caller may resend a request that has already run.
	Idempotent bool
	// Urgency ranks kinds of work: one with a higher urgency is refused later.
	Urgency lhconf.Urgency
	// TargetLatency is the time within which requests should be answered; 0 means none.
	TargetLatency time.Duration
}

// ServiceWeight is a service and its weight in the division of a route's new flows.
type ServiceWeight struct {
	Service string
	Weight  uint32
}

// ServiceOptions are what operators declare of a service's servers.
type ServiceOptions struct {
	Name string
	// Warmup is how long a server is cold after its start.
	Warmup time.Duration
	// WarmupPerSecond is the number of new flows a second that a cold server bears; 0 means
	// that none is declared.
	WarmupPerSecond float64
}

// Server is a backend server and what it reports about its start. Its Number is the
// mark of its flows; servers that exist at the same time may share one.
type Server struct {
	lhconf.BackendServer
	// TargetID is the number by which the server is addressed.
	TargetID uint64
	// StartedAt is the start time of the server in Unix milliseconds; 0 if unknown.
	StartedAt int64
	// Sequence is the number of the server's report, which starts over when it restarts.
	Sequence uint64
	// Warmup is the remaining time for which the server is slow after its start.
	Warmup time.Duration
}

// equal reports whether both describe the same run of a server in the same state.
// It ignores Sequence and Warmup, which differ with each report.
func (s *Server) equal(o *Server) bool {
	return s.BackendServer == o.BackendServer && s.TargetID == o.TargetID && s.StartedAt == o.StartedAt
}

// draining returns the server with the state in which it keeps its flows and takes no new
// ones.
func (s *Server) draining() *Server {
	d := *s
	d.State = lhconf.Draining
	return &d
}
