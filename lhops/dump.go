package lhops

import (
	"net/netip"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Source provides the state of a process. Its methods must be safe for concurrent use.
type Source interface {
	Dump() Dump
	Health() Health
}

// State is the lifecycle state of a process.
type State uint8

// The states of a process, in the order in which it goes through them. It never
// returns to an earlier one.
const (
	// Starting has no configuration in force yet or has not joined its group.
	Starting State = iota
	// Serving accepts packets from the fabric.
	Serving
	// Leaving hands its flows over to other VMs and forwards packets that still arrive.
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

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(text []byte) error {
	for i, name := range stateNames {
		if name == string(text) {
			*s = State(i)
			return nil
		}
	}
	return lhcode.Newf(lhcode.SettingInvalid, "unknown process state %q", text)
}

// Health tells whether the fabric should send packets to the VM.
type Health struct {
	State State `json:"state"`
	// Reason explains why the state is not Serving; empty otherwise.
	Reason string `json:"reason,omitempty"`
}

// Ready reports whether the VM accepts packets from the fabric.
func (h Health) Ready() bool { return h.State == Serving }

// Dump is a snapshot of the state of one process. Services and Work count a flow only
// on its primary owner. Table counts records, of which each flow has two.
type Dump struct {
	VM         string `json:"vm"`
	DataCentre string `json:"datacentre"`
	Group      string `json:"group"`
	Version    string `json:"version"`
	Health     Health `json:"health"`
	// Authenticated is set if peers must prove that they belong to the group.
	Authenticated bool `json:"authenticated"`
	// Revision and Digest identify the configuration in force; Revision is 0 before
	// the first one.
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// View is the version of the membership view, local to this VM.
	View     uint64         `json:"view"`
	Members  []MemberState  `json:"members"`
	Services []ServiceState `json:"services"`
	Work     []WorkState    `json:"work"`
	// Evacuations lists the evacuations in force, by data centre.
	Evacuations []EvacuationState `json:"evacuations,omitempty"`
	Table       TableState        `json:"table"`
	// Counters maps names to the number of events since the process started.
	Counters map[string]uint64 `json:"counters"`
	// Omitted is the number of list entries left out to limit the size of the dump.
	Omitted int `json:"omitted,omitempty"`
}

// MemberState is the state of one VM of the group as seen by this VM.
type MemberState struct {
	ID         lhflow.MemberID    `json:"id"`
	Name       string             `json:"name"`
	DataCentre string             `json:"datacentre"`
	State      lhflow.MemberState `json:"state"`
	Data       netip.AddrPort     `json:"data"`
	Control    netip.AddrPort     `json:"control"`
	// Revision is the configuration in force there as of the last message.
	Revision uint64 `json:"revision"`
	// Silent is the time since the last message in milliseconds.
	Silent int64 `json:"silent"`
}

// ServiceState is the state of a service with the flows that this VM holds.
type ServiceState struct {
	Name    string         `json:"name"`
	Address netip.AddrPort `json:"address"`
	Proto   lhflow.Proto   `json:"proto"`
	Flows   uint64         `json:"flows"`
	Servers []ServerState  `json:"servers"`
}

// ServerState is the state of a backend server with the flows that this VM holds. A
// server that is no longer declared is listed until its last flow has ended.
type ServerState struct {
	Number     uint32       `json:"number"`
	Name       string       `json:"name"`
	DataCentre string       `json:"datacentre"`
	State      lhconf.State `json:"state"`
	// Evacuated is set if the server gets no new flows because its data centre is evacuated.
	Evacuated bool `json:"evacuated,omitempty"`
	// Flows is the number of flows that this VM holds, and Limit its maximum.
	Flows uint64 `json:"flows"`
	Limit uint64 `json:"limit"`
	// Slowness is the expected time of an answer relative to the usual one, if VMs measure it.
	Slowness float64 `json:"slowness,omitempty"`
	// Pace is the part of its usual new flows that the server may get while that is limited;
	// 0 if it isn't. Cold is how long the server stays cold, in milliseconds.
	Pace float64 `json:"pace,omitempty"`
	Cold int64   `json:"cold,omitempty"`
}

// WorkState is the admission state of one kind of work on this VM.
type WorkState struct {
	Kind    string `json:"kind"`
	Service string `json:"service"`
	// Flows is the number of open flows, and Limit its maximum.
	Flows uint64 `json:"flows"`
	Limit uint64 `json:"limit"`
	// Admitted and Refused count flows since the process started.
	Admitted uint64 `json:"admitted"`
	Refused  uint64 `json:"refused"`
}

// EvacuationState is the evacuation of a data centre: an operator's request that no new flow
// goes to its backend servers.
type EvacuationState struct {
	DataCentre string `json:"datacentre"`
	// Revision is that of the store, or of the configuration, in which it was requested.
	Revision uint64 `json:"revision"`
	// Doubtful is set if a store that was restored from a copy lacks the request.
	Doubtful bool `json:"doubtful,omitempty"`
	// Servers is the number of its backend servers, and Flows that of their open flows which
	// this VM holds.
	Servers int    `json:"servers"`
	Flows   uint64 `json:"flows"`
}

// TableState is the state of the flow table.
type TableState struct {
	Flows uint64 `json:"flows"`
	Limit uint64 `json:"limit"`
	// Bytes is the memory size of the table.
	Bytes uint64 `json:"bytes"`
	// Pending is the number of records that this VM has yet to hand over to others.
	Pending uint64 `json:"pending"`
}

// Status is a summary of a Dump.
type Status struct {
	VM         string `json:"vm"`
	DataCentre string `json:"datacentre"`
	Health     Health `json:"health"`
	Revision   uint64 `json:"revision"`
	Digest     string `json:"digest"`
	Members    int    `json:"members"`
	Flows      uint64 `json:"flows"`
	// Pending is the number of records that the VM has yet to hand over to others.
	Pending uint64 `json:"pending"`
	// Evacuated lists the evacuated data centres.
	Evacuated []string `json:"evacuated,omitempty"`
	// Authenticated is set if peers must prove that they belong to the group.
	Authenticated bool `json:"authenticated"`
}

// Status returns a summary of the dump.
func (d Dump) Status() Status {
	var evacuated []string
	for _, e := range d.Evacuations {
		evacuated = append(evacuated, e.DataCentre)
	}
	return Status{
		Evacuated:     evacuated,
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
