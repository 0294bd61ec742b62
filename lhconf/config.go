package lhconf

import (
	"net/netip"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// State is the desired state of a backend server, as declared by operators.
type State uint8

// The states of a backend server.
const (
	// Serving accepts new flows.
	Serving State = iota
	// Draining keeps existing flows and accepts no new ones.
	Draining
)

// String returns the state as written in configuration files.
func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "serving"
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	switch string(text) {
	case "serving":
		*s = Serving
	case "draining":
		*s = Draining
	default:
		return lhcode.Newf(lhcode.SettingInvalid, "unknown state %q: must be serving or draining", text)
	}
	return nil
}

// Service is an address, port and protocol that callers connect to.
type Service struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Proto   lhflow.Proto   `json:"proto"`
	// Warmup is how long a server is cold after it begins to take flows, and Starts the number
	// of new flows a second that it bears then, over all VMs; 0 means that no limit is declared.
	Warmup time.Duration `json:"warmup,omitempty"`
	Starts float64       `json:"starts,omitempty"`
}

// BackendServer is one server behind a service.
type BackendServer struct {
	// Number identifies this server at this address behind this service.
	// AssignNumbers sets it when a configuration is accepted and never reuses it; 0
	// until then.
	Number  uint32 `json:"number"`
	Name    string `json:"name"`
	Service string `json:"service"`
	// Address is the endpoint that receives Geneve packets.
	Address netip.AddrPort `json:"address"`
	// Report is the URL of the server's load report; empty if it has none.
	Report     string `json:"report,omitempty"`
	DataCentre string `json:"datacentre"`
	// Weight is the server's share of new flows relative to the weights of the
	// other servers; at least 1.
	Weight uint32 `json:"weight"`
	// Slots is the number of units of work that the server processes concurrently.
	Slots uint32 `json:"slots"`
	// Flows is the maximum number of concurrent flows to the server.
	Flows uint32 `json:"flows"`
	State State  `json:"state"`
}

// Urgency is the priority of a kind of work under overload: kinds of lower urgency
// are refused first.
type Urgency uint8

// Kind is a class of work that shares the capacity of a service with other kinds.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Callers restricts the kind to callers in this prefix; the zero Prefix matches
	// all callers.
	Callers netip.Prefix `json:"callers,omitzero"`
	Urgency Urgency      `json:"urgency"`
	// Share is the guaranteed share of the service's capacity, in percent.
	Share uint32 `json:"share"`
	// Flows limits the concurrent flows of this kind in the whole group; 0 means no
	// limit.
	Flows uint32 `json:"flows,omitempty"`
}

// Config is one revision of the configuration that all VMs share.
type Config struct {
	// Revision is 0 before acceptance and increases by 1 with each accepted change.
	Revision uint64 `json:"revision"`
	// NextNumber is the number that will be assigned to the next new backend server.
	NextNumber uint32          `json:"next"`
	Services   []Service       `json:"services"`
	Servers    []BackendServer `json:"servers"`
	Kinds      []Kind          `json:"kinds"`
	// DataCentres lists the data centres that are declared as a whole.
	DataCentres []DataCentre `json:"datacentres,omitempty"`
	// Files maps the name of each file to its text, as operators wrote it.
	Files map[string]string `json:"files,omitempty"`
}
