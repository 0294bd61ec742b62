package lhconf

import (
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// State is what operators want of a backend server.
type State uint8

// The states of a backend server.
const (
	// Serving takes new flows.
	Serving State = iota
	// Draining keeps its flows and takes no new ones.
	Draining
)

// String returns the word used in configuration files.
func (s State) String() string {
	if s == Draining {
		return "draining"
	}
	return "serving"
}

// MarshalText returns the word used in configuration files.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the word used in configuration files.
func (s *State) UnmarshalText(text []byte) error {
	switch string(text) {
	case "serving":
		*s = Serving
	case "draining":
		*s = Draining
	default:
		return lhcode.Newf(lhcode.SettingInvalid, "state %q is neither serving nor draining", text)
	}
	return nil
}

// Service is an address, port and protocol that callers connect to.
type Service struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Proto   lhflow.Proto   `json:"proto"`
}

// BackendServer is one server behind a service.
type BackendServer struct {
	// Number identifies this server at this address behind this service. It is
	// given when a configuration is accepted and never given again; 0 before.
	Number  uint32 `json:"number"`
	Name    string `json:"name"`
	Service string `json:"service"`
	// Address is where the server receives Geneve packets.
	Address netip.AddrPort `json:"address"`
	// Report is the URL of the load report; empty where there is none.
	Report     string `json:"report,omitempty"`
	DataCentre string `json:"datacentre"`
	// Weight is the server's part of new flows against the others; at least 1.
	Weight uint32 `json:"weight"`
	// Slots is how many units of work the server carries out at a time.
	Slots uint32 `json:"slots"`
	// Flows is how many flows the server holds at most.
	Flows uint32 `json:"flows"`
	State State  `json:"state"`
}

// Urgency orders kinds of work: a higher one is refused later.
type Urgency uint8

// Kind is a kind of work that shares the capacity of a service with others.
type Kind struct {
	Name    string `json:"name"`
	Service string `json:"service"`
	// Callers limits the kind to callers in this prefix; the zero prefix is all.
	Callers netip.Prefix `json:"callers,omitzero"`
	Urgency Urgency      `json:"urgency"`
	// Share is the guaranteed part of the service's capacity, in percent.
	Share uint32 `json:"share"`
	// Flows limits the flows of this kind over the whole group; 0 is no limit.
	Flows uint32 `json:"flows,omitempty"`
}

// Config is what operators have declared for the fleet, in one revision.
type Config struct {
	// Revision is 0 before acceptance and grows by 1 with each accepted change.
	Revision uint64 `json:"revision"`
	// NextNumber is the number that the next new backend server will get.
	NextNumber uint32          `json:"next"`
	Services   []Service       `json:"services"`
	Servers    []BackendServer `json:"servers"`
	Kinds      []Kind          `json:"kinds"`
	// Files holds the text of each file by its name, as the operators wrote it.
	Files map[string]string `json:"files,omitempty"`
}
