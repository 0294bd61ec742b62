package lhconf

import (
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// MergedValue is a value in force together with where it was written.
type MergedValue struct {
	// Section is the kind and name of what is declared, such as "server cutdesk-01".
	Section string `json:"section"`
	Key     string `json:"key"`
	Value   string `json:"value"`
	Origin  Origin `json:"origin"`
	// Replaced lists the lines whose values this one replaced, the first written first.
	Replaced []Origin `json:"replaced,omitempty"`
}

// Origins lists every merged value in the order in which it was first written.
type Origins []MergedValue

// Merge reads configuration files in the order of their names. A section that
// stands in several files is merged: the later file adds keys and replaces values.
// Where there are problems, the Config is what could be read and must not be used.
func Merge(files map[string]string) (Config, Origins, Problems) {
	config, sections, problems := merge(files)
	return config, origins(sections), problems
}

// Check returns the configuration that files merge into, or an error that carries
// every problem found.
func Check(files map[string]string) (Config, error) {
	config, _, problems := merge(files)
	if len(problems) > 0 {
		return Config{}, problems.Err()
	}
	return config, nil
}

// merge reads configuration files into a Config and the sections it comes from.
func merge(files map[string]string) (Config, []section, Problems) {
	var sections []section
	var problems Problems
	for _, name := range slices.Sorted(maps.Keys(files)) {
		parsed, faults := parseFile(name, files[name])
		sections = append(sections, parsed...)
		problems = append(problems, faults...)
	}
	sections = joinSections(sections)
	config := Config{Files: maps.Clone(files), Servers: make([]BackendServer, 0, len(sections))}
	for _, s := range sections {
		problems = append(problems, config.declare(s)...)
	}
	config.sort()
	problems = append(problems, locate(Validate(config), sections, problems)...)
	problems.sort()
	return config, sections, problems
}

// parseFile splits a file of a configuration into its sections.
func parseFile(name, text string) ([]section, Problems) {
	if !IsFileName(name) {
		allowed := "a name that ends with " + fileSuffix + ", without a leading dot or a slash"
		return nil, Problems{{Origin: Origin{File: name}, Code: lhcode.SettingInvalid, Key: "file", Allowed: allowed}}
	}
	return parseSections(name, text)
}

// The kinds of sections.
const (
	serviceSection = "service"
	serverSection  = "server"
	kindSection    = "kind"
)

const sectionsAllowed = "sections are [service NAME], [server NAME] and [kind NAME]; a name is " + nameAllowed

// declare adds what a section declares.
func (c *Config) declare(s section) Problems {
	kind, name, _ := strings.Cut(s.name, " ")
	if !IsName(name) {
		return s.unknown(sectionsAllowed)
	}
	var problems Problems
	switch kind {
	case serviceSection:
		v := Service{Name: name}
		problems = fill(&v, serviceFields, s)
		c.Services = append(c.Services, v)
	case serverSection:
		v := BackendServer{Name: name, Weight: 1}
		problems = append(fill(&v, serverFields, s), conflicts(s)...)
		c.Servers = append(c.Servers, v)
	case kindSection:
		v := Kind{Name: name}
		problems = append(fill(&v, kindFields, s), conflicts(s)...)
		c.Kinds = append(c.Kinds, v)
	default:
		problems = s.unknown(sectionsAllowed)
	}
	return problems
}

// conflicts reports a section that two files put behind different services: two
// teams have chosen the same name, and merging them would hide one of the two.
func conflicts(s section) Problems {
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
			return Problems{st.problem(lhcode.DeclaredTwice, "already behind service "+first.value+" at "+first.origin.String())}
		}
	}
	return nil
}

// sort orders what is declared by name, so that the order of files does not matter.
func (c *Config) sort() {
	slices.SortFunc(c.Services, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Servers, func(a, b BackendServer) int { return strings.Compare(a.Name, b.Name) })
	slices.SortFunc(c.Kinds, func(a, b Kind) int { return strings.Compare(a.Name, b.Name) })
}

// locate adds to problems of a whole configuration the lines that they come from.
// It leaves out those whose key has been reported already.
func locate(found Problems, sections []section, reported Problems) Problems {
	if len(found) == 0 {
		return nil
	}
	lines := make(map[string]statement)
	opened := make(map[string]Origin)
	for _, s := range sections {
		opened[s.name] = s.origin
		for _, st := range s.statements {
			lines[st.name()] = st
		}
	}
	known := make(map[string]bool)
	for _, p := range reported {
		known[p.Key] = true
	}
	var located Problems
	for _, p := range found {
		if known[p.Key] {
			continue
		}
		if st, ok := lines[p.Key]; ok {
			p.Origin, p.Value = st.origin, st.value
		} else {
			name, _, _ := strings.Cut(p.Key, ".")
			p.Origin = opened[name]
		}
		located = append(located, p)
	}
	return located
}

// origins returns the merged values of sections.
func origins(sections []section) Origins {
	var values Origins
	place := make(map[string]int)
	for _, s := range sections {
		for _, st := range s.statements {
			i, ok := place[st.name()]
			if !ok {
				place[st.name()] = len(values)
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
	endpointField("address", 1, func(s *Service) *netip.AddrPort { return &s.Address }).must(),
	choiceField("proto", []string{"tcp", "udp"}, []lhflow.Proto{lhflow.TCP, lhflow.UDP}, func(s *Service) *lhflow.Proto { return &s.Proto }).must(),
}

var serverFields = []field[BackendServer]{
	nameField("service", func(s *BackendServer) *string { return &s.Service }).must(),
	endpointField("address", 1, func(s *BackendServer) *netip.AddrPort { return &s.Address }).must(),
	nameField("datacentre", func(s *BackendServer) *string { return &s.DataCentre }).must(),
	numberField("slots", 1, maxSlots, func(s *BackendServer) *uint32 { return &s.Slots }).must(),
	numberField("flows", 1, maxServerFlows, func(s *BackendServer) *uint32 { return &s.Flows }).must(),
	numberField("weight", 1, maxWeight, func(s *BackendServer) *uint32 { return &s.Weight }),
	urlField("report", func(s *BackendServer) *string { return &s.Report }),
	choiceField("state", []string{"serving", "draining"}, []State{Serving, Draining}, func(s *BackendServer) *State { return &s.State }),
}

var kindFields = []field[Kind]{
	nameField("service", func(k *Kind) *string { return &k.Service }).must(),
	numberField("urgency", 0, maxUrgency, func(k *Kind) *Urgency { return &k.Urgency }).must(),
	numberField("share", 0, maxShare, func(k *Kind) *uint32 { return &k.Share }),
	prefixField("callers", func(k *Kind) *netip.Prefix { return &k.Callers }),
	numberField("flows", 0, maxKindFlows, func(k *Kind) *uint32 { return &k.Flows }),
}
