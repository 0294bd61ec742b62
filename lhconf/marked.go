package lhconf

import (
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// MarkedSettings is what a process knows before it starts that carries marked flows
// (package lhmark). Settings that were read by ReadMarkedSettings are complete and
// within their ranges.
type MarkedSettings struct {
	// Name is the VM's name, which no other VM has.
	Name       string
	DataCentre string
	// Data, Ready, Control and Ops are where the process receives packets, tells the
	// routers whether it takes any, hears other VMs, and serves operators. Callers
	// receive packets at the port of Data.
	Data    netip.AddrPort
	Ready   netip.AddrPort
	Control netip.AddrPort
	Ops     netip.AddrPort
	// Contacts lists control addresses of other VMs, some of which may be gone. They are
	// asked when the platform's service does not answer at the start.
	Contacts []netip.AddrPort
	// Platform is the URL of the platform's key-value service.
	Platform string
	// Flows is how many flows the VM keeps records of at most.
	Flows int
	// Memory is how much the VM may use, in MB; 0 is no limit.
	Memory int
	// Lines is how many lines a second about single flows are logged at most.
	Lines int
	// Stop bounds a planned stop.
	Stop time.Duration
	// LogLevel is the least severe level that is logged.
	LogLevel zerolog.Level
}

// The defaults of settings for marked flows that differ from those of Settings.
const (
	// DefaultMarkedFlows is five times the flows of one VM at 140 million on 5,700.
	DefaultMarkedFlows = 125_000
	// DefaultLines keeps the log of a VM below 100 KB a second.
	DefaultLines = 200
	// DefaultMarkedStop is how long a planned stop takes at most: no flow has to be
	// handed over, so the routers' turning away is all there is to wait for.
	DefaultMarkedStop = 5 * time.Second
)

// DefaultMarkedSettings returns settings in which only the required ones are absent.
func DefaultMarkedSettings() MarkedSettings {
	return MarkedSettings{
		Flows:    DefaultMarkedFlows,
		Lines:    DefaultLines,
		Stop:     DefaultMarkedStop,
		LogLevel: zerolog.InfoLevel,
	}
}

// ReadMarkedSettings reads settings from a file. The error carries every problem
// found.
func ReadMarkedSettings(path string) (MarkedSettings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return MarkedSettings{}, lhcode.Wrap(lhcode.FileUnreadable, err, "read settings")
	}
	settings := DefaultMarkedSettings()
	if _, problems := fillSections(&settings, path, text, markedSections); len(problems) > 0 {
		problems.sort()
		return MarkedSettings{}, problems.Err()
	}
	return settings, nil
}

// markedSections are the sections of a settings file with their keys.
var markedSections = []settingSection[MarkedSettings]{
	{"vm", []field[MarkedSettings]{
		nameField("name", func(s *MarkedSettings) *string { return &s.Name }).must(),
		nameField("datacentre", func(s *MarkedSettings) *string { return &s.DataCentre }).must(),
	}},
	{"listen", []field[MarkedSettings]{
		endpointField("data", 0, func(s *MarkedSettings) *netip.AddrPort { return &s.Data }).must(),
		endpointField("ready", 0, func(s *MarkedSettings) *netip.AddrPort { return &s.Ready }).must(),
		endpointField("control", 0, func(s *MarkedSettings) *netip.AddrPort { return &s.Control }).must(),
		endpointField("ops", 0, func(s *MarkedSettings) *netip.AddrPort { return &s.Ops }).must(),
	}},
	{"peers", []field[MarkedSettings]{
		endpointsField("contact", func(s *MarkedSettings) *[]netip.AddrPort { return &s.Contacts }).orNone(),
	}},
	{"platform", []field[MarkedSettings]{
		urlField("url", func(s *MarkedSettings) *string { return &s.Platform }).must(),
	}},
	{"limits", []field[MarkedSettings]{
		numberField("flows", 1000, 4_000_000, func(s *MarkedSettings) *int { return &s.Flows }),
		numberField("memory", 0, 1_000_000, func(s *MarkedSettings) *int { return &s.Memory }),
		numberField("lines", 0, 100_000, func(s *MarkedSettings) *int { return &s.Lines }),
	}},
	{"times", []field[MarkedSettings]{
		durationField("stop", time.Second, 10*time.Minute, func(s *MarkedSettings) *time.Duration { return &s.Stop }),
	}},
	{"log", []field[MarkedSettings]{
		levelField(func(s *MarkedSettings) *zerolog.Level { return &s.LogLevel }),
	}},
}
