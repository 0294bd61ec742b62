package lhstore

import (
	"crypto/sha256"
	"encoding/base64"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// MaxFileSize is the size of the largest configuration file, in bytes.
const MaxFileSize = 256 << 10

// FileChange is an operator's change of one file.
type FileChange struct {
	FileText
	// Base is the Hash of the text on which the operator based the change; empty if
	// the file did not exist.
	Base string
}

// Change is an operator's change of the configuration.
type Change struct {
	// ID identifies the change and is never reused.
	ID string
	// Files lists each changed file once.
	Files []FileChange
	// PreviousAttempt is the ticket of an earlier attempt at this change whose outcome is
	// unknown; nil for a first attempt.
	PreviousAttempt *Ticket
}

// Hash returns the hash of a file's text, as used in FileChange.Base.
func Hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return base64.RawURLEncoding.EncodeToString(sum[:16])
}

// Diff returns the changes that lead from the files that the operator last read,
// given by the Hash of each, to the files of folder.
func Diff(read, folder map[string]string) []FileChange {
	var changes []FileChange
	for _, name := range slices.Sorted(maps.Keys(folder)) {
		text := folder[name]
		if base := read[name]; base != Hash(text) {
			changes = append(changes, FileChange{FileText: FileText{Name: name, Text: text}, Base: base})
		}
	}
	for _, name := range slices.Sorted(maps.Keys(read)) {
		if _, present := folder[name]; !present {
			changes = append(changes, FileChange{FileText: FileText{Name: name, Removed: true}, Base: read[name]})
		}
	}
	return changes
}

func (c Change) validate() error {
	if c.ID == "" {
		return lhcode.New(lhcode.Usage, "change has no ID")
	}
	seen := map[string]bool{}
	for _, f := range c.Files {
		switch {
		case f.Name == "" || seen[f.Name]:
			return lhcode.Newf(lhcode.Usage, "change lists file %q without a name or more than once", f.Name)
		case len(f.Text) > MaxFileSize:
			return lhcode.Newf(lhcode.SettingRange, "%s has %d bytes; at most %d are allowed", f.Name, len(f.Text), MaxFileSize)
		}
		seen[f.Name] = true
	}
	return nil
}

// resolve returns the files that c changes in s, sorted by name. It fails if a file
// has neither the text on which the change is based nor the text that it sets.
func (c Change) resolve(s *Snapshot) ([]FileText, error) {
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
			return nil, lhcode.Newf(lhcode.Conflict, "file %s was changed by someone else; revision %d has the new text", f.Name, s.position.Revision)
		}
		files = append(files, f.FileText)
	}
	slices.SortFunc(files, func(a, b FileText) int { return strings.Compare(a.Name, b.Name) })
	return files, nil
}
