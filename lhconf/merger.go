package lhconf

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// Merger checks one version of a configuration folder after the other and reads
// only the files that have changed and those that share a section with them. Its
// zero value is ready for use, also by several goroutines.
type Merger struct {
	mu sync.Mutex
	// config is the last version without problems.
	config Config
	// places holds, for each section of config, the names of the files that it
	// stands in, in order.
	places map[string][]string
}

// Check returns the same as the function of this name.
func (m *Merger) Check(files map[string]string) (Config, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	u := m.update(files)
	if !u.read() {
		// Problems are rare, and the whole folder is needed to report them.
		return Check(files)
	}
	next := u.declare(m.config)
	if len(u.problems) > 0 || len(Validate(next)) > 0 {
		return Check(files)
	}
	m.config = next
	m.place(u)
	return next, nil
}

// update is the step from one version of a folder to the next.
type update struct {
	files map[string]string
	// touched holds the names of files that are new, changed or removed.
	touched map[string]bool
	// places holds the files of each section that a touched file held or holds.
	places map[string][]string
	// sections holds the sections of each file that had to be read.
	sections map[string][]section
	problems Problems
}

// update returns the step from the last version to files, with the sections that
// the touched files held before.
func (m *Merger) update(files map[string]string) *update {
	u := &update{
		files:    files,
		touched:  make(map[string]bool),
		places:   make(map[string][]string),
		sections: make(map[string][]section),
	}
	for name, text := range files {
		if before, ok := m.config.Files[name]; !ok || before != text {
			u.touched[name] = true
		}
	}
	for name, before := range m.config.Files {
		if after, ok := files[name]; ok && before == after {
			continue
		}
		u.touched[name] = true
		held, _ := parseSections(name, before)
		for _, s := range held {
			u.places[s.name] = nil
		}
	}
	u.parse(u.touched)
	u.spread(m.places)
	return u
}

// parse reads those of the named files that are in the new version.
func (u *update) parse(names map[string]bool) {
	for name := range names {
		text, ok := u.files[name]
		if !ok || u.sections[name] != nil {
			continue
		}
		sections, problems := parseFile(name, text)
		u.sections[name] = sections
		u.problems = append(u.problems, problems...)
	}
}

// spread finds the files of each section that the touched files held or hold.
func (u *update) spread(before map[string][]string) {
	for _, sections := range u.sections {
		for _, s := range sections {
			u.places[s.name] = nil
		}
	}
	for name := range u.places {
		u.places[name] = slices.DeleteFunc(slices.Clone(before[name]), func(file string) bool { return u.touched[file] })
	}
	for file, sections := range u.sections {
		for _, s := range sections {
			u.places[s.name] = append(u.places[s.name], file)
		}
	}
}

// read reads the files that share a section with the touched ones. It reports
// whether there were no problems.
func (u *update) read() bool {
	others := make(map[string]bool)
	for _, files := range u.places {
		slices.Sort(files)
		for _, file := range files {
			others[file] = true
		}
	}
	u.parse(others)
	return len(u.problems) == 0
}

// declare returns the configuration that follows before.
func (u *update) declare(before Config) Config {
	var sections []section
	for _, file := range slices.Sorted(maps.Keys(u.sections)) {
		for _, s := range u.sections[file] {
			if _, ok := u.places[s.name]; ok {
				sections = append(sections, s)
			}
		}
	}
	var changed Config
	for _, s := range joinSections(sections) {
		u.problems = append(u.problems, changed.declare(s)...)
	}
	changed.sort()
	return Config{
		Files:    maps.Clone(u.files),
		Services: replace(u, serviceSection, before.Services, changed.Services, func(s Service) string { return s.Name }),
		Servers:  replace(u, serverSection, before.Servers, changed.Servers, func(s BackendServer) string { return s.Name }),
		Kinds:    replace(u, kindSection, before.Kinds, changed.Kinds, func(k Kind) string { return k.Name }),
	}
}

// place takes over where the sections of an update stand.
func (m *Merger) place(u *update) {
	if m.places == nil {
		m.places = make(map[string][]string, len(u.places))
	}
	for name, files := range u.places {
		if len(files) == 0 {
			delete(m.places, name)
			continue
		}
		m.places[strings.Clone(name)] = files
	}
}

// replace returns before without what the update declares anew, merged with
// changed. Both are sorted by name.
func replace[T any](u *update, kind string, before, changed []T, name func(T) string) []T {
	merged := make([]T, 0, len(before)+len(changed))
	for _, v := range before {
		if _, ok := u.places[kind+" "+name(v)]; ok {
			continue
		}
		for len(changed) > 0 && name(changed[0]) < name(v) {
			merged, changed = append(merged, changed[0]), changed[1:]
		}
		merged = append(merged, v)
	}
	return append(merged, changed...)
}
