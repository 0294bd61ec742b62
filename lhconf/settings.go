package lhconf

import (
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/rs/zerolog"
)

// Settings is what one entry process knows before it starts. Settings that were
// read by ReadSettings or ParseSettings are complete and within their ranges.
type Settings struct {
	// Name is the VM's name, which no other VM of the group has.
	Name       string
	DataCentre string
	// Group names the VMs that the fabric may hand packets of one flow to.
	Group string
	// Seed is the group's secret.
	Seed lhflow.Seed

	// Data, Control and Ops are where the process receives Geneve packets, serves
	// its peers and serves operators. Port 0 lets the system choose one.
	Data    netip.AddrPort
	Control netip.AddrPort
	Ops     netip.AddrPort

	// Fabric lists the addresses that callers' packets come from.
	Fabric []netip.Addr
	// FabricTo is where packets for callers are sent.
	FabricTo netip.AddrPort

	// Peers lists the control addresses of first contacts; empty for a VM alone.
	Peers []netip.AddrPort
	// Platform is the URL of the platform's key-value service.
	Platform string
	// TLS names the keys that peers know each other by; its zero value is cleartext.
	TLS TLS

	// Flows is how many flows the table holds at most.
	Flows int
	// ControlRate is how many bytes a second the VM sends its peers at most.
	ControlRate int
	// MTU is the largest packet in bytes that the network to backend servers carries.
	MTU int
	// Workers is how many goroutines forward packets; 0 means one for each core.
	Workers int

	// Stop bounds a planned stop.
	Stop time.Duration
	// Heartbeat is the time between two heartbeats to a peer.
	Heartbeat time.Duration
	// Suspect is how long a peer that does not answer may refute that, until it owns
	// no flows any more; at least two heartbeats.
	Suspect time.Duration
	// Lease is how long a record learned from an owner may be used.
	Lease time.Duration
	// IdleTCP and IdleUDP are the silence after which a flow's record is dropped.
	IdleTCP time.Duration
	IdleUDP time.Duration

	// LogLevel is the least severe level that is logged.
	LogLevel zerolog.Level
}

// The defaults of settings that may be left out.
const (
	DefaultFlows       = 500_000
	DefaultControlRate = 3000 // bytes a second
	DefaultMTU         = 1500 // bytes
	DefaultStop        = 30 * time.Second
	DefaultHeartbeat   = time.Second
	DefaultSuspect     = 2 * time.Second
	DefaultLease       = 2 * time.Second
	DefaultIdleTCP     = 24 * time.Hour
	DefaultIdleUDP     = 5 * time.Minute
)

// DefaultSettings returns settings in which only the required ones are absent.
func DefaultSettings() Settings {
	return Settings{
		Flows:       DefaultFlows,
		ControlRate: DefaultControlRate,
		MTU:         DefaultMTU,
		Stop:        DefaultStop,
		Heartbeat:   DefaultHeartbeat,
		Suspect:     DefaultSuspect,
		Lease:       DefaultLease,
		IdleTCP:     DefaultIdleTCP,
		IdleUDP:     DefaultIdleUDP,
		LogLevel:    zerolog.InfoLevel,
	}
}

// ReadSettings reads settings from a file. The error carries every problem found.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, lhcode.Wrap(lhcode.FileUnreadable, err, "read settings")
	}
	return ParseSettings(path, text)
}

// ParseSettings reads settings from the text of the file name. The error carries
// every problem found; Settings are then empty.
func ParseSettings(name string, text []byte) (Settings, error) {
	settings := DefaultSettings()
	sections, problems := fillSections(&settings, name, text, settingSections)
	if len(problems) == 0 {
		problems = append(settings.validate(name, sections), settings.TLS.validate(name, sections)...)
	}
	if len(problems) > 0 {
		problems.sort()
		return Settings{}, problems.Err()
	}
	settings.TLS = settings.TLS.within(filepath.Dir(name))
	return settings, nil
}

// settingSection is a section of a settings file with its keys.
type settingSection[T any] struct {
	name   string
	fields []field[T]
}

// fillSections sets the fields of t from the text of the file name, in which only
// the known sections may stand.
func fillSections[T any](t *T, name string, text []byte, known []settingSection[T]) ([]section, Problems) {
	sections, problems := parseSections(name, string(text))
	present := make(map[string]bool)
	for _, sec := range sections {
		i := slices.IndexFunc(known, func(k settingSection[T]) bool { return k.name == sec.name })
		if i < 0 {
			problems = append(problems, sec.unknown("known sections are "+sectionNames(known))...)
			continue
		}
		present[sec.name] = true
		problems = append(problems, fill(t, known[i].fields, sec)...)
	}
	for _, k := range known {
		if !present[k.name] {
			absent := section{origin: Origin{File: name}, name: k.name}
			problems = append(problems, fill(t, k.fields, absent)...)
		}
	}
	return sections, problems
}

// sectionNames returns the names of sections.
func sectionNames[T any](known []settingSection[T]) string {
	names := make([]string, len(known))
	for i, k := range known {
		names[i] = k.name
	}
	return strings.Join(names, ", ")
}

// validate checks what holds between settings that are each within their range.
func (s *Settings) validate(name string, sections []section) Problems {
	if s.Suspect >= 2*s.Heartbeat {
		return nil
	}
	problem := Problem{
		Origin: Origin{File: name}, Code: lhcode.SettingRange, Key: "times.suspect",
		Value: s.Suspect.String(), Allowed: "at least twice times.heartbeat, which is " + s.Heartbeat.String(),
	}
	for _, sec := range sections {
		for _, f := range sec.statements {
			if f.name() == "times.suspect" || f.name() == "times.heartbeat" {
				problem.Origin = f.origin
			}
		}
	}
	return Problems{problem}
}

// settingSections are the sections of a settings file with their keys.
var settingSections = []settingSection[Settings]{
	{"vm", []field[Settings]{
		nameField("name", func(s *Settings) *string { return &s.Name }).must(),
		nameField("datacentre", func(s *Settings) *string { return &s.DataCentre }).must(),
		nameField("group", func(s *Settings) *string { return &s.Group }).must(),
		seedField("seed", func(s *Settings) *lhflow.Seed { return &s.Seed }).must(),
	}},
	{"listen", []field[Settings]{
		endpointField("data", 0, func(s *Settings) *netip.AddrPort { return &s.Data }).must(),
		endpointField("control", 0, func(s *Settings) *netip.AddrPort { return &s.Control }).must(),
		endpointField("ops", 0, func(s *Settings) *netip.AddrPort { return &s.Ops }).must(),
	}},
	{"fabric", []field[Settings]{
		addressesField("from", func(s *Settings) *[]netip.Addr { return &s.Fabric }).must(),
		endpointField("to", 1, func(s *Settings) *netip.AddrPort { return &s.FabricTo }).must(),
	}},
	{"peers", []field[Settings]{
		endpointsField("contact", func(s *Settings) *[]netip.AddrPort { return &s.Peers }),
	}},
	{"platform", []field[Settings]{
		urlField("url", func(s *Settings) *string { return &s.Platform }).must(),
	}},
	{tlsSection, []field[Settings]{
		pathField("ca", func(s *Settings) *string { return &s.TLS.CA }),
		pathField("certificate", func(s *Settings) *string { return &s.TLS.Certificate }),
		pathField("key", func(s *Settings) *string { return &s.TLS.Key }),
		choiceField("ops", []string{"off", "on"}, []bool{false, true}, func(s *Settings) *bool { return &s.TLS.Operators }),
	}},
	{"limits", []field[Settings]{
		numberField("flows", 1000, 4_000_000, func(s *Settings) *int { return &s.Flows }),
		rateField("control", 500, 10_000_000, func(s *Settings) *int { return &s.ControlRate }),
		numberField("mtu", 1280, 9000, func(s *Settings) *int { return &s.MTU }),
		numberField("workers", 0, 256, func(s *Settings) *int { return &s.Workers }),
	}},
	{"times", []field[Settings]{
		durationField("stop", time.Second, 10*time.Minute, func(s *Settings) *time.Duration { return &s.Stop }),
		durationField("heartbeat", 50*time.Millisecond, 10*time.Second, func(s *Settings) *time.Duration { return &s.Heartbeat }),
		durationField("suspect", 100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Suspect }),
		durationField("lease", 100*time.Millisecond, time.Minute, func(s *Settings) *time.Duration { return &s.Lease }),
		durationField("tcp", time.Minute, 30*24*time.Hour, func(s *Settings) *time.Duration { return &s.IdleTCP }),
		durationField("udp", time.Second, 24*time.Hour, func(s *Settings) *time.Duration { return &s.IdleUDP }),
	}},
	{"log", []field[Settings]{
		levelField(func(s *Settings) *zerolog.Level { return &s.LogLevel }),
	}},
}

// levelField is the key of the least severe level that is logged.
func levelField[T any](at func(*T) *zerolog.Level) field[T] {
	return choiceField(
		"level",
		[]string{"debug", "info", "warn", "error"},
		[]zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel},
		at,
	)
}
