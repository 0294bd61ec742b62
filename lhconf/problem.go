package lhconf

import (
	"fmt"
	"sort"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Origin is the file and line that a value comes from.
type Origin struct {
	File string `json:"file"`
	// Line counts from 1; it is 0 for a problem of the file as a whole.
	Line int `json:"line"`
}

// String returns the origin in the form file:line, which editors recognize.
func (o Origin) String() string {
	if o.Line == 0 {
		return o.File
	}
	return fmt.Sprintf("%s:%d", o.File, o.Line)
}

// Problem is one error in a settings file or a configuration.
type Problem struct {
	Origin Origin      `json:"origin"`
	Code   lhcode.Code `json:"code"`
	// Key is the section and the key, such as limits.flows.
	Key string `json:"key"`
	// Value is the rejected text; empty if there is none.
	Value string `json:"value,omitempty"`
	// Allowed describes what is valid in its place.
	Allowed string `json:"allowed"`
}

// String returns the problem on one line, as the check command prints it.
func (p Problem) String() string {
	found := ""
	if p.Value != "" {
		found = fmt.Sprintf(" = %q", p.Value)
	}
	return fmt.Sprintf("%s: [%d] %s%s: %s", p.Origin, p.Code, p.Key, found, p.Allowed)
}

// section returns the section of the problem.
func (p Problem) section() string {
	section, _, _ := strings.Cut(p.Key, ".")
	return section
}

// Problems lists all problems found in one pass. The error that Err returns has the
// code of the first one.
type Problems []Problem

// Error returns all problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// sort sorts problems by file and line.
func (ps Problems) sort() {
	sort.SliceStable(ps, func(i, j int) bool {
		a, b := ps[i].Origin, ps[j].Origin
		if a.File != b.File {
			return a.File < b.File
		}
		return a.Line < b.Line
	})
}

// Err returns an error with the code of the first problem, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return lhcode.Wrap(ps[0].Code, ps, fmt.Sprintf("%d problems found", len(ps)))
}
