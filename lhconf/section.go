package lhconf

import (
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"gopkg.in/ini.v1"
)

// section is one section of a file with its statements, in the order written.
type section struct {
	// origin is the line that opens the section.
	origin     Origin
	name       string
	statements []statement
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

// lineSyntax restricts INI to one statement a line, so that each value has one line.
var lineSyntax = ini.LoadOptions{
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
	SpaceBeforeInlineComment: true,
}

// parseSections splits the text of a file into its sections. Keys before the
// first section belong to one without a name. The library reports no line
// numbers, so each line is loaded by itself.
func parseSections(file string, text []byte) ([]section, Problems) {
	sections := []section{{origin: Origin{File: file}}}
	var problems Problems
	seen := make(map[string]Origin)
	for i, line := range strings.Split(string(text), "\n") {
		origin := Origin{File: file, Line: i + 1}
		loaded, err := ini.LoadSources(lineSyntax, []byte(line))
		if err != nil {
			problems = append(problems, malformed(origin, line))
			continue
		}
		if name, ok := openedSection(loaded); ok {
			sections = append(sections, section{origin: origin, name: name})
			continue
		}
		open := &sections[len(sections)-1]
		for _, k := range loaded.Section(ini.DefaultSection).Keys() {
			s := statement{origin: origin, section: open.name, key: k.Name(), value: k.Value()}
			if first, ok := seen[s.name()]; ok {
				problems = append(problems, s.problem(lhcode.DeclaredTwice, "already set at "+first.String()))
				continue
			}
			seen[s.name()] = origin
			open.statements = append(open.statements, s)
		}
	}
	if len(sections[0].statements) == 0 {
		sections = sections[1:]
	}
	return sections, problems
}

// malformed returns the problem of a line that INI has no meaning for.
func malformed(origin Origin, line string) Problem {
	return Problem{
		Origin: origin, Code: lhcode.SettingInvalid, Key: "line", Value: strings.TrimSpace(line),
		Allowed: "a line is [section], key = value, or a comment after #",
	}
}

// openedSection returns the section that a loaded line opens.
func openedSection(loaded *ini.File) (string, bool) {
	for _, name := range loaded.SectionStrings() {
		if name != ini.DefaultSection {
			return strings.Join(strings.Fields(name), " "), true
		}
	}
	return "", false
}

// joinSections merges sections of the same name into one, in the order in which
// the names first appear. A later statement for a key stands beside the earlier.
func joinSections(sections []section) []section {
	var joined []section
	place := make(map[string]int)
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
