package lhconf

import (
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"gopkg.in/ini.v1"
)

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

// parseStatements splits the text of a file into its statements. The library
// reports no line numbers, so each line is loaded by itself.
func parseStatements(file string, text []byte) ([]statement, Problems) {
	var found []statement
	var problems Problems
	section := ""
	seen := make(map[string]Origin)
	for i, line := range strings.Split(string(text), "\n") {
		origin := Origin{File: file, Line: i + 1}
		loaded, err := ini.LoadSources(lineSyntax, []byte(line))
		if err != nil {
			problems = append(problems, Problem{
				Origin: origin, Code: lhcode.SettingInvalid, Key: "line", Value: strings.TrimSpace(line),
				Allowed: "a line is [section], key = value, or a comment after #",
			})
			continue
		}
		if name, ok := sectionName(loaded); ok {
			section = name
			continue
		}
		for _, k := range loaded.Section(ini.DefaultSection).Keys() {
			s := statement{origin: origin, section: section, key: k.Name(), value: k.Value()}
			if first, ok := seen[s.name()]; ok {
				problems = append(problems, s.problem(lhcode.DeclaredTwice, "already set at "+first.String()))
				continue
			}
			seen[s.name()] = origin
			found = append(found, s)
		}
	}
	return found, problems
}

// sectionName returns the section that a loaded line opens.
func sectionName(loaded *ini.File) (string, bool) {
	for _, name := range loaded.SectionStrings() {
		if name != ini.DefaultSection {
			return strings.Join(strings.Fields(name), " "), true
		}
	}
	return "", false
}
