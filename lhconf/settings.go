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

// Settings are the settings of one entry process. Those returned by ReadSettings or
// ParseSettings are complete and within their ranges.
type Settings struct {
	// Name is the VM's name, unique within the group.
	Name       string
	DataCentre string
	// Group is the name of the group of VMs among which the fabric may distribute the
	// packets of one flow.
	Group string
	// Seed is the secret that the VMs of the group share.
	Seed lhflow.Seed

	// Data, Control and Ops are the listen addresses for Geneve packets, for peers
	// and for operators. Port 0 selects a free port.
	Data    netip.AddrPort
	Control netip.AddrPort
	Ops     netip.AddrPort

	// Fabric lists the source addresses from which the fabric sends callers' packets.
	Fabric []netip.Addr
	// FabricTo is the endpoint that packets to callers are sent to.
	FabricTo netip.AddrPort

	// Peers lists the control addresses of the VMs contacted at startup; empty for a
	// single VM.
	Peers []netip.AddrPort
	// Platform is the URL of the platform's key-value service.
	Platform string
	// TLS names the key files that peers authenticate each other with. With the zero
	// value, peers communicate in cleartext.
	TLS TLS

	// Flows is the capacity of the flow table.
	Flows int
	// ControlRate limits the traffic to peers, in bytes per second.
	ControlRate int
	// MTU is the maximum packet size in bytes on the network to backend servers.
	MTU int
	// Workers is the number of goroutines that forward packets; 0 means one per core.
	Workers int

	// Stop limits the duration of a planned stop.
	Stop time.Duration
	// Heartbeat is the interval between heartbeats to a peer.
	Heartbeat time.Duration
	// Suspect is how long a peer that doesn't answer may refute the suspicion before
	// it loses the ownership of its flows; at least two heartbeats.
	Suspect time.Duration
	// Lease is how long a flow record obtained from its owner stays valid.
	Lease time.Duration
	// IdleTCP and IdleUDP are the idle times after which a flow's record is deleted.
	IdleTCP time.Duration
	IdleUDP time.Duration

	// Warmup says how servers that begin to take flows are treated.
	Warmup Warmup

	// LogLevel is the lowest severity that is logged.
	LogLevel zerolog.Level
}

// The defaults of optional settings.
const (
	DefaultFlows       = 500_000
	DefaultControlRate = 3000 // bytes per second
	DefaultMTU         = 1500 // bytes
	DefaultStop        = 30 * time.Second
	DefaultHeartbeat   = time.Second
	DefaultSuspect     = 2 * time.Second
	DefaultLease       = 2 * time.Second
	DefaultIdleTCP     = 24 * time.Hour
	DefaultIdleUDP     = 5 * time.Minute
)

// DefaultSettings returns the defaults of optional settings; required ones are unset.
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
		Warmup:      Warmup{Overshoot: 1},
		LogLevel:    zerolog.InfoLevel,
	}
}

// ReadSettings reads settings from a file. The error wraps all problems found.
func ReadSettings(path string) (Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, lhcode.Wrap(lhcode.FileUnreadable, err, "read settings")
	}
	return ParseSettings(path, text)
}

// ParseSettings parses settings from the text of the file name. With an error, which
// wraps all problems found, it returns the zero Settings.
func ParseSettings(name string, text []byte) (Settings, error) {
	settings := DefaultSettings()
	sections, problems := decodeSections(&settings, name, text, settingsSchema)
	if len(problems) == 0 {
		problems = append(settings.validate(name, sections), settings.TLS.validate(name, sections)...)
	}
	if len(problems) > 0 {
		problems.sort()
		return Settings{}, problems.Err()
	}
	settings.TLS = settings.TLS.resolvePaths(filepath.Dir(name))
	return settings, nil
}

// sectionSchema is the schema of one section of a settings file.
type sectionSchema[T any] struct {
	name   string
	fields []field[T]
}

// decodeSections sets the fields of t from the text of the file name. It reports
// sections that the schema does not contain.
func decodeSections[T any](t *T, name string, text []byte, schema []sectionSchema[T]) ([]section, Problems) {
	sections, problems := parseSections(name, string(text))
	found := make(map[string]bool)
	for _, sec := range sections {
		i := slices.IndexFunc(schema, func(k sectionSchema[T]) bool { return k.name == sec.name })
		if i < 0 {
			problems = append(problems, sec.unknownProblems("known sections are "+sectionNames(schema))...)
			continue
		}
		found[sec.name] = true
		problems = append(problems, decodeSection(t, schema[i].fields, sec)...)
	}
	for _, k := range schema {
		if !found[k.name] {
			absent := section{origin: Origin{File: name}, name: k.name}
			problems = append(problems, decodeSection(t, k.fields, absent)...)
		}
	}
	return sections, problems
}

// sectionNames returns a comma-separated list of section names.
func sectionNames[T any](schema []sectionSchema[T]) string {
	names := make([]string, len(schema))
	for i, k := range schema {
		names[i] = k.name
	}
	return strings.Join(names, ", ")
}

// validate checks constraints between settings that are each within their range.
func (s *Settings) validate(name string, sections []section) Problems {
	if s.Suspect >= 2*s.Heartbeat {
		return nil
	}
	problem := Problem{
		Origin: Origin{File: name}, Code: lhcode.SettingRange, Key: "times.suspect",
		Value: s.Suspect.String(), Allowed: "at least twice times.heartbeat, which is " + s.Heartbeat.String(),
	}
	for _, sec := range sections {
		for _, st := range sec.statements {
			if st.name() == "times.suspect" || st.name() == "times.heartbeat" {
				problem.Origin = st.origin
			}
		}
	}
	return Problems{problem}
}

// settingsSchema lists the sections and keys of a settings file for Settings.
var settingsSchema = []sectionSchema[Settings]{
	{"vm", []field[Settings]{
		nameField("name", func(s *Settings) *string { return &s.Name }).asRequired(),
		nameField("datacentre", func(s *Settings) *string { return &s.DataCentre }).asRequired(),
		nameField("group", func(s *Settings) *string { return &s.Group }).asRequired(),
		seedField("seed", func(s *Settings) *lhflow.Seed { return &s.Seed }).asRequired(),
	}},
	{"listen", []field[Settings]{
		endpointField("data", 0, func(s *Settings) *netip.AddrPort { return &s.Data }).asRequired(),
		endpointField("control", 0, func(s *Settings) *netip.AddrPort { return &s.Control }).asRequired(),
		endpointField("ops", 0, func(s *Settings) *netip.AddrPort { return &s.Ops }).asRequired(),
	}},
	{"fabric", []field[Settings]{
		addressesField("from", func(s *Settings) *[]netip.Addr { return &s.Fabric }).asRequired(),
		endpointField("to", 1, func(s *Settings) *netip.AddrPort { return &s.FabricTo }).asRequired(),
	}},
	{"peers", []field[Settings]{
		endpointsField("contact", func(s *Settings) *[]netip.AddrPort { return &s.Peers }),
	}},
	{"platform", []field[Settings]{
		urlField("url", func(s *Settings) *string { return &s.Platform }).asRequired(),
	}},
	{tlsSection, []field[Settings]{
		pathField("ca", func(s *Settings) *string { return &s.TLS.CA }),
		pathField("certificate", func(s *Settings) *string { return &s.TLS.Certificate }),
		pathField("key", func(s *Settings) *string { return &s.TLS.Key }),
		choiceField("ops", []string{"off", "on"}, []bool{false, true}, func(s *Settings) *bool { return &s.TLS.SecureOps }),
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
	{"warmup", warmupFields(func(s *Settings) *Warmup { return &s.Warmup })},
	{"log", []field[Settings]{
		levelField(func(s *Settings) *zerolog.Level { return &s.LogLevel }),
	}},
}

// levelField parses the lowest severity that is logged.
func levelField[T any](target func(*T) *zerolog.Level) field[T] {
	return choiceField(
		"level",
		[]string{"debug", "info", "warn", "error"},
		[]zerolog.Level{zerolog.DebugLevel, zerolog.InfoLevel, zerolog.WarnLevel, zerolog.ErrorLevel},
		target,
	)
}
