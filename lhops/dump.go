package lhops

import (
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Source is the process whose state is shown. Its methods may be called at any
// time from any goroutine.
type Source interface {
	Dump() Dump
	Health() Health
}

// State is where a process stands between its start and its end.
type State uint8

// The states of a process. A state only ever moves forwards.
const (
	// Starting has no configuration in force yet, or no place among its peers.
	Starting State = iota
	// Serving takes packets from the fabric.
	Serving
	// Leaving hands its flows over and forwards what still arrives.
	Leaving
)

var stateNames = []string{"starting", "serving", "leaving"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the state's name.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return lhcode.Newf(lhcode.SettingInvalid, "%q is no state of a process", text)
}

// Health says whether the fabric should hand packets to the VM.
type Health struct {
	State State `json:"state"`
	// Reason says in a few words why the state is not Serving; empty otherwise.
	Reason string `json:"reason,omitempty"`
}

// Ready reports whether the VM takes packets from the fabric.
func (h Health) Ready() bool { return h.State == Serving }

// Dump is the state of one process at one moment. Services and kinds of work count a
// flow at its first owner alone; the table counts records, of which a flow has two.
type Dump struct {
	VM         string `json:"vm"`
	DataCentre string `json:"datacentre"`
	Group      string `json:"group"`
	Version    string `json:"version"`
	Health     Health `json:"health"`
	// Authenticated is set where peers have to prove that they belong to the group.
	Authenticated bool `json:"authenticated"`
	// Revision and Digest name the configuration in force; Revision is 0 before the first.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// View is the version of the membership in use on this VM alone.
	View     uint64         `json:"view"`
	Members  []MemberState  `json:"members"`
	Services []ServiceState `json:"services"`
	Work     []WorkState    `json:"work"`
	Table    TableState     `json:"table"`
	// Counters hold what has happened since the process started, by name.
	Counters map[string]uint64 `json:"counters"`
	// Omitted is how many entries of the lists were left out to bound the dump.
	Omitted int `json:"omitted,omitempty"`
}

// MemberState is one VM of the group, as this VM sees it.
type MemberState struct {
	ID         lhflow.MemberID    `json:"id"`
	Name       string             `json:"name"`
	DataCentre string             `json:"datacentre"`
	State      lhflow.MemberState `json:"state"`
	Data       netip.AddrPort     `json:"data"`
	Control    netip.AddrPort     `json:"control"`
	// Revision is the configuration in force there when it was last heard.
	Revision uint64 `json:"revision"`
	// Silent is the time in milliseconds since it was last heard.
	Silent int64 `json:"silent"`
}

// ServiceState is a service with the flows that this VM holds of it.
type ServiceState struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Proto   lhflow.Proto   `json:"proto"`
	Flows   uint64         `json:"flows"`
	Servers []ServerState  `json:"servers"`
}

// ServerState is a backend server with the flows that this VM holds to it. A server
// that is declared no more is listed until its last flow has ended.
type ServerState struct {
	Number     uint32       `json:"number"`
	Name       string       `json:"name"`
	DataCentre string       `json:"datacentre"`
	State      lhconf.State `json:"state"`
	// Flows is how many flows this VM holds; Limit how many it may.
	Flows uint64 `json:"flows"`
	Limit uint64 `json:"limit"`
}

// WorkState is what this VM has decided about one kind of work.
type WorkState struct {
	Kind    string `json:"kind"`
	Service string `json:"service"`
	// Flows is how many flows are open at present; Limit how many may be.
	Flows uint64 `json:"flows"`
	Limit uint64 `json:"limit"`
	// Admitted and Refused count flows since the process started.
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
}

// TableState is the flow table.
type TableState struct {
	Flows uint64 `json:"flows"`
	Limit uint64 `json:"limit"`
	// Bytes is the memory that the table takes.
	Bytes uint64 `json:"bytes"`
	// Pending is how many records this VM has yet to hand over to others.
	Pending uint64 `json:"pending"`
}

// Status is a Dump at a glance.
type Status struct {
	VM         string `json:"vm"`
	DataCentre string `json:"datacentre"`
	Health     Health `json:"health"`
	Revision   uint64 `json:"revision"`
	Digest     string `json:"digest"`
	Members    int    `json:"members"`
	Flows      uint64 `json:"flows"`
	// Pending is how many records the VM has yet to hand over to others.
	Pending uint64 `json:"pending"`
	// Authenticated is set where peers have to prove that they belong to the group.
	Authenticated bool `json:"authenticated"`
}

// Status returns the dump at a glance.
func (d Dump) Status() Status {
	return Status{
		VM:            d.VM,
		DataCentre:    d.DataCentre,
		Health:        d.Health,
		Revision:      d.Revision,
		Digest:        d.Digest,
		Members:       len(d.Members),
		Flows:         d.Table.Flows,
		Pending:       d.Table.Pending,
		Authenticated: d.Authenticated,
	}
}
