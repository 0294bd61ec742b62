package lhconf

import (
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// section is one section of a file with its statements in file order.
type section struct {
	// origin is the line of the section header.
	origin     Origin
	name       string
	statements []statement
}

// has reports whether the section sets a key.
func (s *section) has(key string) bool {
	return slices.ContainsFunc(s.statements, func(st statement) bool { return st.key == key })
}

// unknownProblems returns the problems of an unknown section: one for each statement,
// or one for the section itself if it is empty.
func (s *section) unknownProblems(allowed string) Problems {
	if len(s.statements) == 0 {
		return Problems{{Origin: s.origin, Code: lhcode.SettingUnknown, Key: s.name, Allowed: allowed}}
	}
	var problems Problems
	for _, st := range s.statements {
		problems = append(problems, st.problem(lhcode.SettingUnknown, allowed))
	}
	return problems
}

// statement is one key with its value as written in a file.
type statement struct {
	origin  Origin
	section string
	key     string
	value   string
}

// name returns the section and key in the form used by Problem.Key.
func (s *statement) name() string { return s.section + "." + s.key }

// problem returns a problem at the statement's origin.
func (s *statement) problem(code lhcode.Code, allowed string) Problem {
	return Problem{Origin: s.origin, Code: code, Key: s.name(), Value: s.value, Allowed: allowed}
}

// parseSections splits the text of a file into sections. Repeated headers of the same
// section are combined into one. Keys before the first header belong to a section
// with an empty name.
func parseSections(file, text string) ([]section, Problems) {
	p := sectionParser{indexByName: make(map[string]int)}
	p.openSection(Origin{File: file}, "")
	lineNumber := 0
	for text := range strings.SplitSeq(text, "\n") {
		lineNumber++
		origin := Origin{File: file, Line: lineNumber}
		l, ok := parseLine(text)
		switch {
		case !ok:
			p.problems = append(p.problems, malformedLine(origin, text))
		case l.kind == sectionHeader:
			p.openSection(origin, l.name)
		case l.kind == assignment:
			p.addStatement(statement{origin: origin, section: p.sections[p.current].name, key: l.name, value: l.value})
		}
	}
	if len(p.sections[0].statements) == 0 {
		p.sections = p.sections[1:]
	}
	return p.sections, p.problems
}

// sectionParser collects the sections of one file.
type sectionParser struct {
	sections []section
	// indexByName maps the name of each section to its index in sections.
	indexByName map[string]int
	// current is the index of the section that following keys belong to.
	current  int
	problems Problems
}

// openSection makes the section with the given name the current one and adds it if it
// is new.
func (p *sectionParser) openSection(origin Origin, name string) {
	i, ok := p.indexByName[name]
	if !ok {
		i = len(p.sections)
		p.indexByName[name] = i
		p.sections = append(p.sections, section{origin: origin, name: name})
	}
	p.current = i
}

// addStatement adds a statement to the current section and reports a duplicate key.
// Sections have few keys, so a linear search for the duplicate is sufficient.
func (p *sectionParser) addStatement(s statement) {
	sec := &p.sections[p.current]
	for _, other := range sec.statements {
		if other.key == s.key {
			p.problems = append(p.problems, s.problem(lhcode.DeclaredTwice, "already set at "+other.origin.String()))
			return
		}
	}
	if sec.statements == nil {
		sec.statements = make([]statement, 0, initialStatements)
	}
	sec.statements = append(sec.statements, s)
}

// initialStatements is the initial capacity for the statements of a section; most
// sections need no more.
const initialStatements = 8

// malformedLine returns the problem of a line that is not valid INI.
func malformedLine(origin Origin, line string) Problem {
	return Problem{
		Origin: origin, Code: lhcode.SettingInvalid, Key: "line", Value: strings.TrimSpace(line),
		Allowed: "a line is [section], key = value, or a comment that starts with #",
	}
}

// mergeSections merges sections of the same name into one, in the order in which
// the names first appear. It keeps all statements of a key, including those that a
// later file overrides.
func mergeSections(sections []section) []section {
	merged := make([]section, 0, len(sections))
	indexByName := make(map[string]int, len(sections))
	for _, s := range sections {
		i, ok := indexByName[s.name]
		if !ok {
			indexByName[s.name] = len(merged)
			merged = append(merged, s)
			continue
		}
		merged[i].statements = append(merged[i].statements, s.statements...)
	}
	return merged
}
