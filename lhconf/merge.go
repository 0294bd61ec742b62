package lhconf

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// MergedValue is a value after the merge, with its origin.
type MergedValue struct {
	// Section is the kind and name of the section, such as "server cutdesk-01".
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Origin  Origin `json:"origin"`
	// Replaced lists the origins of overridden values, the earliest first.
	Replaced []Origin `json:"replaced,omitempty"`
}

// Origins lists all merged values in the order of their first occurrence.
type Origins []MergedValue

// Merge parses configuration files in the order of their names. A section that occurs
// in several files is merged: a later file adds keys and overrides values. If there are
// problems, the Config is incomplete and must not be used.
func Merge(files map[string]string) (Config, Origins, Problems) {
	config, sections, problems := merge(files)
	return config, mergedValues(sections), problems
}

// Check returns the configuration that files merge into, or an error that wraps all
// problems found.
func Check(files map[string]string) (Config, error) {
	config, _, problems := merge(files)
	if len(problems) > 0 {
		return Config{}, problems.Err()
	}
	return config, nil
}

// merge parses configuration files into a Config and the sections that it comes from.
func merge(files map[string]string) (Config, []section, Problems) {
	var sections []section
	var problems Problems
	for _, name := range slices.Sorted(maps.Keys(files)) {
		parsed, fileProblems := parseFile(name, files[name])
		sections = append(sections, parsed...)
		problems = append(problems, fileProblems...)
	}
	sections = mergeSections(sections)
	config := Config{Files: maps.Clone(files), Servers: make([]BackendServer, 0, len(sections))}
	for _, s := range sections {
		problems = append(problems, config.addSection(s)...)
	}
	config.sort()
	problems = append(problems, addOrigins(Validate(config), sections, problems)...)
	problems.sort()
	return config, sections, problems
}

// parseFile splits a configuration file into its sections.
func parseFile(name, text string) ([]section, Problems) {
	if !IsFileName(name) {
		allowed := "a name that ends with " + fileSuffix + ", without a leading dot or a slash"
		return nil, Problems{{Origin: Origin{File: name}, Code: lhcode.SettingInvalid, Key: "file", Allowed: allowed}}
	}
	return parseSections(name, text)
}

// The kinds of sections in a configuration.
const (
	serviceSection = "service"
	serverSection  = "server"
	kindSection    = "kind"
	// dataCentreSection declares a data centre as a whole.
	dataCentreSection = "datacentre"
)

const sectionsAllowed = "sections are [service NAME], [server NAME], [kind NAME] and [datacentre NAME]; a name is " + nameAllowed

// addSection adds the service, server, kind or data centre that a section declares.
func (c *Config) addSection(s section) Problems {
	kind, name, _ := strings.Cut(s.name, " ")
	if !IsName(name) {
		return s.unknownProblems(sectionsAllowed)
	}
	var problems Problems
	switch kind {
	case serviceSection:
		v := Service{Name: name}
		problems = decodeSection(&v, serviceFields, s)
		c.Services = append(c.Services, v)
	case serverSection:
		v := BackendServer{Name: name, Weight: 1}
		problems = append(decodeSection(&v, serverFields, s), serviceConflicts(s)...)
		c.Servers = append(c.Servers, v)
	case kindSection:
		v := Kind{Name: name}
		problems = append(decodeSection(&v, kindFields, s), serviceConflicts(s)...)
		c.Kinds = append(c.Kinds, v)
	case dataCentreSection:
		v := DataCentre{Name: name}
		problems = decodeSection(&v, dataCentreFields, s)
		c.DataCentres = append(c.DataCentres, v)
	default:
		problems = s.unknownProblems(sectionsAllowed)
	}
	return problems
}

// serviceConflicts reports a section that two files assign to different services. Two
// teams have then chosen the same name, and the merge would hide one of the two servers
// or kinds.
func serviceConflicts(s section) Problems {
	var first *statement
	for i := range s.statements {
		st := &s.statements[i]
		if st.key != "service" {
			continue
		}
		if first == nil {
			first = st
			continue
		}
		if st.value != first.value {
			return Problems{st.problem(lhcode.DeclaredTwice, "already assigned to service "+first.value+" at "+first.origin.String())}
		}
	}
	return nil
}

// sort sorts all declarations by name, so that their order does not depend on the order of
// files.
func (c *Config) sort() {
	slices.SortFunc(c.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Servers, func(a, b BackendServer) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Kinds, func(a, b Kind) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.DataCentres, func(a, b DataCentre) int { return strings.Compare(a.Name, b.Name) })
}

// addOrigins sets the origins of problems that Validate found. It omits those whose key
// has been reported already.
func addOrigins(found Problems, sections []section, reported Problems) Problems {
	if len(found) == 0 {
		return nil
	}
	statements := make(map[string]statement)
	headers := make(map[string]Origin)
	for _, s := range sections {
		headers[s.name] = s.origin
		for _, st := range s.statements {
			statements[st.name()] = st
		}
	}
	reportedKeys := make(map[string]bool)
	for _, p := range reported {
		reportedKeys[p.Key] = true
	}
	var located Problems
	for _, p := range found {
		if reportedKeys[p.Key] {
			continue
		}
		if st, ok := statements[p.Key]; ok {
			p.Origin, p.Value = st.origin, st.value
		} else {
			name, _, _ := strings.Cut(p.Key, ".")
			p.Origin = headers[name]
		}
		located = append(located, p)
	}
	return located
}

// mergedValues returns the merged values of sections with their origins.
func mergedValues(sections []section) Origins {
	var values Origins
	indexByKey := make(map[string]int)
	for _, s := range sections {
		for _, st := range s.statements {
			i, ok := indexByKey[st.name()]
			if !ok {
				indexByKey[st.name()] = len(values)
				values = append(values, MergedValue{Section: s.name, Key: st.key, Value: st.value, Origin: st.origin})
				continue
			}
			v := &values[i]
			v.Replaced = append(v.Replaced, v.Origin)
			v.Value, v.Origin = st.value, st.origin
		}
	}
	return values
}

var serviceFields = []field[Service]{
	endpointField("address", 1, func(s *Service) *netip.AddrPort { return &s.Address }).asRequired(),
	choiceField("proto", []string{"tcp", "udp"}, []lhflow.Proto{lhflow.TCP, lhflow.UDP}, func(s *Service) *lhflow.Proto { return &s.Proto }).asRequired(),
	durationField("warmup", time.Millisecond, time.Minute, func(s *Service) *time.Duration { return &s.Warmup }),
	decimalField("starts", 0, 1_000_000, func(s *Service) *float64 { return &s.Starts }),
}

var serverFields = []field[BackendServer]{
	nameField("service", func(s *BackendServer) *string { return &s.Service }).asRequired(),
	endpointField("address", 1, func(s *BackendServer) *netip.AddrPort { return &s.Address }).asRequired(),
	nameField("datacentre", func(s *BackendServer) *string { return &s.DataCentre }).asRequired(),
	numberField("slots", 1, maxSlots, func(s *BackendServer) *uint32 { return &s.Slots }).asRequired(),
	numberField("flows", 1, maxServerFlows, func(s *BackendServer) *uint32 { return &s.Flows }).asRequired(),
	numberField("weight", 1, maxWeight, func(s *BackendServer) *uint32 { return &s.Weight }),
	urlField("report", func(s *BackendServer) *string { return &s.Report }),
	choiceField("state", []string{"serving", "draining"}, []State{Serving, Draining}, func(s *BackendServer) *State { return &s.State }),
}

var kindFields = []field[Kind]{
	nameField("service", func(k *Kind) *string { return &k.Service }).asRequired(),
	numberField("urgency", 0, maxUrgency, func(k *Kind) *Urgency { return &k.Urgency }).asRequired(),
	numberField("share", 0, maxShare, func(k *Kind) *uint32 { return &k.Share }),
	prefixField("callers", func(k *Kind) *netip.Prefix { return &k.Callers }),
	numberField("flows", 0, maxKindFlows, func(k *Kind) *uint32 { return &k.Flows }),
}
