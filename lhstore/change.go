package lhstore

import (
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// MaxFile is the size of the largest file of a configuration, in bytes.
const MaxFile = 256 << 10

// FileChange is what an operator wants of one file.
type FileChange struct {
	FileText
	// Base is the Hash of the text that the operator changed; empty where the
	// operator saw no such file.
	Base string
}

// Change is what an operator wants of the configuration.
type Change struct {
	// ID identifies the change; it is never used for another.
	ID string
	// Files names each file once.
	Files []FileChange
	// Earlier is the ticket of an earlier try of this very change whose outcome
	// stayed unknown; nil for a first try.
	Earlier *Ticket
}

// Hash returns the hash of a file's text by which a change names its base.
func Hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return base64.RawURLEncoding.EncodeToString(sum[:16])
}

// Compare returns how folder differs from the files that the operator last
// read, given by the Hash of each.
func Compare(read, folder map[string]string) []FileChange {
	var changes []FileChange
	for _, name := range slices.Sorted(maps.Keys(folder)) {
		text := folder[name]
		if base := read[name]; base != Hash(text) {
			changes = append(changes, FileChange{FileText: FileText{Name: name, Text: text}, Base: base})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(read)) {
		if _, kept := folder[name]; !kept {
			changes = append(changes, FileChange{FileText: FileText{Name: name, Removed: true}, Base: read[name]})
		}
	}
	return changes
}

func (c Change) validate() error {
	if c.ID == "" {
		return lhcode.New(lhcode.Usage, "a change needs an ID")
	}
	seen := map[string]bool{}
	for _, f := range c.Files {
		switch {
		case f.Name == "" || seen[f.Name]:
			return lhcode.Newf(lhcode.Usage, "a change names each file once, not %q again", f.Name)
		case len(f.Text) > MaxFile:
			return lhcode.Newf(lhcode.SettingRange, "%s has %d bytes; at most %d are allowed", f.Name, len(f.Text), MaxFile)
		}
		seen[f.Name] = true
	}
	return nil
}

// against returns the files that c changes in s, sorted by name. It fails where
// a file is neither as the operator saw it nor as the operator wants it.
func (c Change) against(s *Snapshot) ([]FileText, error) {
	var files []FileText
	for _, f := range c.Files {
		text, found := s.File(f.Name)
		if found == !f.Removed && text == f.Text {
			continue
		}
		base := ""
		if found {
			base = Hash(text)
		}
		if base != f.Base {
			return nil, lhcode.Newf(lhcode.Conflict, "file %s was changed by another; revision %d holds their text", f.Name, s.position.Revision)
		}
		files = append(files, f.FileText)
	}
	slices.SortFunc(files, func(a, b FileText) int { return strings.Compare(a.Name, b.Name) })
	return files, nil
}
