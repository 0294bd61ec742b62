package lhconf

import (
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// MarkedSettings are the settings of a process that forwards marked flows (package
// lhmark). Those returned by ReadMarkedSettings are complete and within their ranges.
type MarkedSettings struct {
	// Name is the VM's name, unique among all VMs.
	Name       string
	DataCentre string
	// Data, Ready, Control and Ops are the listen addresses for packets, for the
	// routers' readiness checks, for other VMs and for operators. Callers receive
	// packets on the same port number as that of Data.
	Data    netip.AddrPort
	Ready   netip.AddrPort
	Control netip.AddrPort
	Ops     netip.AddrPort
	// Contacts lists control addresses of other VMs, some of which may no longer exist.
	// The process contacts them if the platform's service doesn't answer at startup.
	Contacts []netip.AddrPort
	// Platform is the URL of the platform's key-value service.
	Platform string
	// Speeds is set if flows are placed by how fast backend servers answer.
	Speeds bool
	// Flows is the maximum number of flows that the VM keeps records of.
	Flows int
	// Memory is the memory limit in MB; 0 means no limit.
	Memory int
	// Cores and Link are the VM's processor, in cores, and its link, in Mbit/s; 0 if not
	// known. Larger VMs read the store for the others and forward updates.
	Cores, Link float64
	// Shares selects whether kinds of work and callers share a service that has too little
	// room (lhmark.Limits).
	Shares bool
	// Probes selects whether backend servers that answer nothing are probed (lhmark.Limits).
	Probes bool
	// LogLines limits the log lines about individual flows, per second.
	LogLines int
	// Stop limits the duration of a planned stop.
	Stop time.Duration
	// Warmup says how servers that have just started are treated.
	Warmup Warmup
	// LogLevel is the lowest severity that is logged.
	LogLevel zerolog.Level
	// Evidence takes SYNs that nothing follows for evidence that a backend server does not
	// answer, and Domains suspects all servers of a data centre when several fail together.
	Evidence, Domains bool
}

// The defaults of MarkedSettings that differ from those of Settings.
const (
	// DefaultMarkedFlows is five times the average flows per VM with 140 million flows
	// on 5,700 VMs.
	DefaultMarkedFlows = 125_000
	// DefaultLogLines keeps the log of a VM below 100 KB per second.
	DefaultLogLines = 200
	// DefaultMarkedStop is the maximum duration of a planned stop. It is short because
	// no flows have to be handed over: the process only waits until the routers stop
	// sending packets to the VM.
	DefaultMarkedStop = 5 * time.Second
)

// DefaultMarkedSettings returns the defaults of optional settings; required ones are
// unset.
func DefaultMarkedSettings() MarkedSettings {
	return MarkedSettings{
		Flows:    DefaultMarkedFlows,
		LogLines: DefaultLogLines,
		Stop:     DefaultMarkedStop,
		Warmup:   Warmup{Overshoot: 1},
		LogLevel: zerolog.InfoLevel,
	}
}

// ReadMarkedSettings reads settings from a file. The error wraps all problems found.
func ReadMarkedSettings(path string) (MarkedSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return MarkedSettings{}, lhcode.Wrap(lhcode.FileUnreadable, err, "read settings")
	}
	settings := DefaultMarkedSettings()
	if _, problems := decodeSections(&settings, path, text, markedSettingsSchema); len(problems) > 0 {
		problems.sort()
		return MarkedSettings{}, problems.Err()
	}
	return settings, nil
}

// markedSettingsSchema lists the sections and keys of a settings file for
// MarkedSettings.
var markedSettingsSchema = []sectionSchema[MarkedSettings]{
	{"vm", []field[MarkedSettings]{
		nameField("name", func(s *MarkedSettings) *string { return &s.Name }).asRequired(),
		nameField("datacentre", func(s *MarkedSettings) *string { return &s.DataCentre }).asRequired(),
	}},
	{"listen", []field[MarkedSettings]{
		endpointField("data", 0, func(s *MarkedSettings) *netip.AddrPort { return &s.Data }).asRequired(),
		endpointField("ready", 0, func(s *MarkedSettings) *netip.AddrPort { return &s.Ready }).asRequired(),
		endpointField("control", 0, func(s *MarkedSettings) *netip.AddrPort { return &s.Control }).asRequired(),
		endpointField("ops", 0, func(s *MarkedSettings) *netip.AddrPort { return &s.Ops }).asRequired(),
	}},
	{"peers", []field[MarkedSettings]{
		endpointsField("contact", func(s *MarkedSettings) *[]netip.AddrPort { return &s.Contacts }).allowEmpty(),
	}},
	{"platform", []field[MarkedSettings]{
		urlField("url", func(s *MarkedSettings) *string { return &s.Platform }).asRequired(),
	}},
	{"limits", []field[MarkedSettings]{
		numberField("flows", 1000, 4_000_000, func(s *MarkedSettings) *int { return &s.Flows }),
		numberField("memory", 0, 1_000_000, func(s *MarkedSettings) *int { return &s.Memory }),
		decimalField("cores", 0, 1024, func(s *MarkedSettings) *float64 { return &s.Cores }).allowEmpty(),
		decimalField("link", 0, 1_000_000, func(s *MarkedSettings) *float64 { return &s.Link }).allowEmpty(),
		numberField("lines", 0, 100_000, func(s *MarkedSettings) *int { return &s.LogLines }),
	}},
	{"work", []field[MarkedSettings]{
		choiceField("shares", []string{"false", "true"}, []bool{false, true}, func(s *MarkedSettings) *bool { return &s.Shares }),
	}},
	{"times", []field[MarkedSettings]{
		durationField("stop", time.Second, 10*time.Minute, func(s *MarkedSettings) *time.Duration { return &s.Stop }),
	}},
	{"warmup", warmupFields(func(s *MarkedSettings) *Warmup { return &s.Warmup })},
	{"log", []field[MarkedSettings]{
		levelField(func(s *MarkedSettings) *zerolog.Level { return &s.LogLevel }),
	}},
	{"routing", []field[MarkedSettings]{
		choiceField("probes", []string{"false", "true"}, []bool{false, true}, func(s *MarkedSettings) *bool { return &s.Probes }),
		choiceField("speeds", []string{"false", "true"}, []bool{false, true}, func(s *MarkedSettings) *bool { return &s.Speeds }),
		choiceField("evidence", []string{"false", "true"}, []bool{false, true}, func(s *MarkedSettings) *bool { return &s.Evidence }),
		choiceField("domains", []string{"false", "true"}, []bool{false, true}, func(s *MarkedSettings) *bool { return &s.Domains }),
	}},
}
