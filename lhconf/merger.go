package lhconf

import (
	"maps"
	"slices"
	"strings"
	"sync"
)

// Merger checks successive versions of a configuration folder. It parses only the
// files that have changed and those that share a section with them. The zero value is
// ready to use and safe for concurrent use.
type Merger struct {
	mu sync.Mutex
	// config is the last valid version.
	config Config
	// sectionFiles maps each section of config to the sorted names of the files that
	// contain it.
	sectionFiles map[string][]string
}

// Check returns the same result as the function Check.
func (m *Merger) Check(files map[string]string) (Config, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c := m.newChange(files)
	if !c.parseSharingFiles() {
		// A complete report needs the whole folder. Problems are rare, so the cost is
		// acceptable.
		return Check(files)
	}
	next := c.apply(m.config)
	if len(c.problems) > 0 || len(Validate(next)) > 0 {
		return Check(files)
	}
	m.config = next
	m.recordSectionFiles(c)
	return next, nil
}

// folderChange is the difference between two versions of a folder.
type folderChange struct {
	files map[string]string
	// changed holds the names of added, modified and removed files.
	changed map[string]bool
	// sectionFiles maps each section that occurs in a changed file, before or after
	// the change, to the files that contain it now.
	sectionFiles map[string][]string
	// fileSections maps each parsed file to its sections.
	fileSections map[string][]section
	problems     Problems
}

// newChange returns the difference between the last valid version and files, with the
// sections that the changed files contained before.
func (m *Merger) newChange(files map[string]string) *folderChange {
	c := &folderChange{
		files:        files,
		changed:      make(map[string]bool),
		sectionFiles: make(map[string][]string),
		fileSections: make(map[string][]section),
	}
	for name, text := range files {
		if before, ok := m.config.Files[name]; !ok || before != text {
			c.changed[name] = true
		}
	}
	for name, before := range m.config.Files {
		if after, ok := files[name]; ok && before == after {
			continue
		}
		c.changed[name] = true
		oldSections, _ := parseSections(name, before)
		for _, s := range oldSections {
			c.sectionFiles[s.name] = nil
		}
	}
	c.parseFiles(c.changed)
	c.collectSectionFiles(m.sectionFiles)
	return c
}

// parseFiles parses the named files that exist in the new version.
func (c *folderChange) parseFiles(names map[string]bool) {
	for name := range names {
		text, ok := c.files[name]
		if !ok || c.fileSections[name] != nil {
			continue
		}
		sections, problems := parseFile(name, text)
		c.fileSections[name] = sections
		c.problems = append(c.problems, problems...)
	}
}

// collectSectionFiles fills sectionFiles; before is the index of the last valid version.
func (c *folderChange) collectSectionFiles(before map[string][]string) {
	for _, sections := range c.fileSections {
		for _, s := range sections {
			c.sectionFiles[s.name] = nil
		}
	}
	for name := range c.sectionFiles {
		c.sectionFiles[name] = slices.DeleteFunc(slices.Clone(before[name]), func(file string) bool { return c.changed[file] })
	}
	for file, sections := range c.fileSections {
		for _, s := range sections {
			c.sectionFiles[s.name] = append(c.sectionFiles[s.name], file)
		}
	}
}

// parseSharingFiles parses the files that share a section with the changed ones. It
// reports whether all files were parsed without problems.
func (c *folderChange) parseSharingFiles() bool {
	sharing := make(map[string]bool)
	for _, files := range c.sectionFiles {
		slices.Sort(files)
		for _, file := range files {
			sharing[file] = true
		}
	}
	c.parseFiles(sharing)
	return len(c.problems) == 0
}

// apply returns the configuration after the change; before is the one it changes.
func (c *folderChange) apply(before Config) Config {
	var sections []section
	for _, file := range slices.Sorted(maps.Keys(c.fileSections)) {
		for _, s := range c.fileSections[file] {
			if _, ok := c.sectionFiles[s.name]; ok {
				sections = append(sections, s)
			}
		}
	}
	var changed Config
	for _, s := range mergeSections(sections) {
		c.problems = append(c.problems, changed.addSection(s)...)
	}
	changed.sort()
	return Config{
		Files:    maps.Clone(c.files),
		Services: mergeByName(c, serviceSection, before.Services, changed.Services, func(s Service) string { return s.Name }),
		Servers:  mergeByName(c, serverSection, before.Servers, changed.Servers, func(s BackendServer) string { return s.Name }),
		Kinds:    mergeByName(c, kindSection, before.Kinds, changed.Kinds, func(k Kind) string { return k.Name }),
		DataCentres: mergeByName(c, dataCentreSection, before.DataCentres, changed.DataCentres,
			func(d DataCentre) string { return d.Name }),
	}
}

// recordSectionFiles updates the index of section files after an accepted change.
func (m *Merger) recordSectionFiles(c *folderChange) {
	if m.sectionFiles == nil {
		m.sectionFiles = make(map[string][]string, len(c.sectionFiles))
	}
	for name, files := range c.sectionFiles {
		if len(files) == 0 {
			delete(m.sectionFiles, name)
			continue
		}
		m.sectionFiles[strings.Clone(name)] = files
	}
}

// mergeByName replaces the entries of before whose sections are affected by the change
// with those of changed. Both lists are sorted by name, and so is the result.
func mergeByName[T any](c *folderChange, kind string, before, changed []T, name func(T) string) []T {
	merged := make([]T, 0, len(before)+len(changed))
	for _, v := range before {
		if _, ok := c.sectionFiles[kind+" "+name(v)]; ok {
			continue
		}
		for len(changed) > 0 && name(changed[0]) < name(v) {
			merged, changed = append(merged, changed[0]), changed[1:]
		}
		merged = append(merged, v)
	}
	return append(merged, changed...)
}
