package lhconf

import (
	"strings"

	"gopkg.in/ini.v1"
)

// line is one parsed line of a file. A statement never spans lines, so that each
// value has exactly one origin.
type line struct {
	kind lineKind
	// name is the section name of a header or the key of an assignment.
	name string
	// value is the value of an assignment.
	value string
}

// lineKind is the syntactic kind of a line.
type lineKind uint8

const (
	// blank is an empty line or a comment.
	blank lineKind = iota
	// sectionHeader starts a section.
	sectionHeader
	// assignment sets a key to a value.
	assignment
)

// parseLine parses a line and returns false if it is not valid INI. A configuration
// has hundreds of thousands of lines, most of them without special characters.
// Those are parsed directly; only lines with quotes, escapes or comments go through
// the slower INI library.
func parseLine(text string) (line, bool) {
	text = strings.TrimSpace(text)
	if l, ok := parsePlain(text); ok {
		return l, true
	}
	return parseWithLibrary(text)
}

// plainBytes marks the printable ASCII characters that have no special meaning
// within a line; it excludes those of comments, quotes, escapes and sections.
var plainBytes = func() (plain [256]bool) {
	for c := ' '; c <= '~'; c++ {
		plain[c] = !strings.ContainsRune("#;\"'`\\[]", c)
	}
	return plain
}()

// parsePlain parses a line whose name and value consist of plain bytes, and returns
// false for any other line.
func parsePlain(text string) (line, bool) {
	if text == "" {
		return line{}, true
	}
	if name, ok := strings.CutPrefix(text, "["); ok {
		name, ok = strings.CutSuffix(name, "]")
		return line{kind: sectionHeader, name: sectionName(name)}, ok && isPlain(name)
	}
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !ok || key == "" || key == "-" || !isPlain(text) {
		return line{}, false
	}
	return line{kind: assignment, name: key, value: value}, true
}

// isPlain reports whether a text is not empty and consists of plain bytes only.
func isPlain(text string) bool {
	for i := range len(text) {
		if !plainBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

// lineSyntax restricts the library to syntax that fits on one line.
var lineSyntax = ini.LoadOptions{
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
	SpaceBeforeInlineComment: true,
}

// parseWithLibrary parses any line with the INI library. The library reports no line
// numbers, so it gets one line at a time.
func parseWithLibrary(text string) (line, bool) {
	loaded, err := ini.LoadSources(lineSyntax, []byte(text))
	if err != nil {
		return line{}, false
	}
	if names := loaded.SectionStrings(); strings.HasPrefix(text, "[") {
		// The library always returns its default section first.
		return line{kind: sectionHeader, name: sectionName(names[len(names)-1])}, true
	}
	for _, k := range loaded.Section(ini.DefaultSection).Keys() {
		return line{kind: assignment, name: k.Name(), value: k.Value()}, true
	}
	return line{}, true
}

// sectionName returns a section name with each run of white space replaced by a
// single space.
func sectionName(text string) string { return strings.Join(strings.Fields(text), " ") }
