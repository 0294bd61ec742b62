package lhconf

import (
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// section is one section of a file with its statements, in the order written.
type section struct {
	// origin is the line that opens the section.
	origin     Origin
	name       string
	statements []statement
}

// has reports whether the section sets a key.
func (s *section) has(key string) bool {
	return slices.ContainsFunc(s.statements, func(st statement) bool { return st.key == key })
}

// unknown returns a problem for the section, or for each of its statements where
// it has any.
func (s *section) unknown(allowed string) Problems {
	if len(s.statements) == 0 {
		return Problems{{Origin: s.origin, Code: lhcode.SettingUnknown, Key: s.name, Allowed: allowed}}
	}
	var problems Problems
	for _, st := range s.statements {
		problems = append(problems, st.problem(lhcode.SettingUnknown, allowed))
	}
	return problems
}

// statement is one key with its value, as it stands in a file.
type statement struct {
	origin  Origin
	section string
	key     string
	value   string
}

// name returns the section and key in the form that problems use.
func (s *statement) name() string { return s.section + "." + s.key }

// problem returns a problem with the statement's value.
func (s *statement) problem(code lhcode.Code, allowed string) Problem {
	return Problem{Origin: s.origin, Code: code, Key: s.name(), Value: s.value, Allowed: allowed}
}

// parseSections splits the text of a file into its sections, each of which stands
// once in the outcome. Keys before the first section belong to one without a name.
func parseSections(file, text string) ([]section, Problems) {
	p := sectionParser{place: make(map[string]int)}
	p.open(Origin{File: file}, "")
	number := 0
	for text := range strings.SplitSeq(text, "\n") {
		number++
		origin := Origin{File: file, Line: number}
		l, ok := parseLine(text)
		switch {
		case !ok:
			p.problems = append(p.problems, malformed(origin, text))
		case l.kind == opening:
			p.open(origin, l.name)
		case l.kind == assignment:
			p.set(statement{origin: origin, section: p.sections[p.current].name, key: l.name, value: l.value})
		}
	}
	if len(p.sections[0].statements) == 0 {
		p.sections = p.sections[1:]
	}
	return p.sections, p.problems
}

// sectionParser gathers the sections of one file.
type sectionParser struct {
	sections []section
	// place holds the index of each section by its name.
	place map[string]int
	// current is the index of the section that the next key belongs to.
	current  int
	problems Problems
}

// open makes the section of a name the current one.
func (p *sectionParser) open(origin Origin, name string) {
	i, ok := p.place[name]
	if !ok {
		i = len(p.sections)
		p.place[name] = i
		p.sections = append(p.sections, section{origin: origin, name: name})
	}
	p.current = i
}

// set adds a statement to the current section. A section has few keys, so that
// looking through them finds one that is set twice.
func (p *sectionParser) set(s statement) {
	open := &p.sections[p.current]
	for _, other := range open.statements {
		if other.key == s.key {
			p.problems = append(p.problems, s.problem(lhcode.DeclaredTwice, "already set at "+other.origin.String()))
			return
		}
	}
	if open.statements == nil {
		open.statements = make([]statement, 0, usualKeys)
	}
	open.statements = append(open.statements, s)
}

// usualKeys is how many keys most sections have room for.
const usualKeys = 8

// malformed returns the problem of a line that INI has no meaning for.
func malformed(origin Origin, line string) Problem {
	return Problem{
		Origin: origin, Code: lhcode.SettingInvalid, Key: "line", Value: strings.TrimSpace(line),
		Allowed: "a line is [section], key = value, or a comment after #",
	}
}

// joinSections merges sections of the same name into one, in the order in which
// the names first appear. A later statement for a key stands beside the earlier.
func joinSections(sections []section) []section {
	joined := make([]section, 0, len(sections))
	place := make(map[string]int, len(sections))
	for _, s := range sections {
		i, ok := place[s.name]
		if !ok {
			place[s.name] = len(joined)
			joined = append(joined, s)
			continue
		}
		joined[i].statements = append(joined[i].statements, s.statements...)
	}
	return joined
}
