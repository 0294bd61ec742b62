package lhconf

import (
	"strings"

	"gopkg.in/ini.v1"
)

// line is what one line of a file says. Each statement has a line of its own, so
// that each value has one origin.
type line struct {
	kind lineKind
	// name is the section that is opened or the key that is set.
	name string
	// value is what the key is set to.
	value string
}

// lineKind tells the sorts of lines apart.
type lineKind uint8

const (
	// blank is an empty line or a comment.
	blank lineKind = iota
	// opening opens a section.
	opening
	// assignment sets a key.
	assignment
)

// parseLine returns what a line says, and false where INI has no meaning for it.
// Lines that only a library can be trusted with are a small part of any folder;
// the plain ones are read directly, since a fleet has hundreds of thousands.
func parseLine(text string) (line, bool) {
	text = strings.TrimSpace(text)
	if l, ok := parsePlain(text); ok {
		return l, true
	}
	return loadLine(text)
}

// plainBytes marks printable ASCII without the characters that have a meaning
// within a line: comments, quotes, escapes and sections.
var plainBytes = func() (plain [256]bool) {
	for c := ' '; c <= '~'; c++ {
		plain[c] = !strings.ContainsRune("#;\"'`\\[]", c)
	}
	return plain
}()

// parsePlain reads a line without special characters but for its form, and
// returns false for any other.
func parsePlain(text string) (line, bool) {
	if text == "" {
		return line{}, true
	}
	if name, ok := strings.CutPrefix(text, "["); ok {
		name, ok = strings.CutSuffix(name, "]")
		return line{kind: opening, name: sectionName(name)}, ok && isPlain(name)
	}
	key, value, ok := strings.Cut(text, "=")
	key, value = strings.TrimSpace(key), strings.TrimSpace(value)
	if !ok || key == "" || key == "-" || !isPlain(text) {
		return line{}, false
	}
	return line{kind: assignment, name: key, value: value}, true
}

// isPlain reports whether a text consists of plain bytes.
func isPlain(text string) bool {
	for i := range len(text) {
		if !plainBytes[text[i]] {
			return false
		}
	}
	return text != ""
}

// lineSyntax restricts INI to what one line can say.
var lineSyntax = ini.LoadOptions{
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
	SpaceBeforeInlineComment: true,
}

// loadLine reads any line. The library reports no line numbers, so it is given
// one line at a time.
func loadLine(text string) (line, bool) {
	loaded, err := ini.LoadSources(lineSyntax, []byte(text))
	if err != nil {
		return line{}, false
	}
	if names := loaded.SectionStrings(); strings.HasPrefix(text, "[") {
		// The library's unnamed section comes first and is always there.
		return line{kind: opening, name: sectionName(names[len(names)-1])}, true
	}
	for _, k := range loaded.Section(ini.DefaultSection).Keys() {
		return line{kind: assignment, name: k.Name(), value: k.Value()}, true
	}
	return line{}, true
}

// sectionName returns a section's name with single spaces.
func sectionName(text string) string { return strings.Join(strings.Fields(text), " ") }
