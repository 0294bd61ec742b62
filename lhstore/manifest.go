package lhstore

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

const (
	// manifestPrefix begins the key of each manifest.
	manifestPrefix = "manifest/"
	// inlineLimit is the size of the changes that a manifest lists itself, in bytes
	// of text. Whoever lacks a revision with more compares its pages.
	inlineLimit = 64 << 10
	// declaredSize stands for the size of a declaration in bytes.
	declaredSize = 256
)

// FileText is a file as a revision left it.
type FileText struct {
	Name string `json:"name"`
	Text string `json:"text,omitempty"`
	// Removed is set when the revision has no such file; Text is then empty.
	Removed bool `json:"removed,omitempty"`
}

// Manifest says what one revision holds and how it came about. It is never
// changed once the head has named it.
type Manifest struct {
	Revision uint64 `json:"revision"`
	// Apply identifies the call of Apply that made the revision.
	Apply string `json:"apply"`
	// Previous is the digest of the manifest of the revision before.
	Previous uint64 `json:"previous"`
	// NextNumber is the number that the next new backend server will get.
	NextNumber uint32 `json:"next"`
	// Pages holds the hash of each page, empty for an empty one. A peer leaves it
	// out, and the receiver derives it from its own pages and the changes.
	Pages []string `json:"pages,omitempty"`
	// Files and Declared are what the revision changed, sorted by name; both are
	// empty when Bulk is set.
	Files    []FileText          `json:"files,omitempty"`
	Declared []DeclarationChange `json:"declared,omitempty"`
	// Bulk is set when the changes are too large to be listed.
	Bulk bool `json:"bulk,omitempty"`
}

// Position returns the place in the chain that the manifest describes.
func (m Manifest) Position() Position {
	data, _ := json.Marshal(m)
	sum := sha256.Sum256(data)
	return Position{Revision: m.Revision, Digest: binary.BigEndian.Uint64(sum[:8])}
}

// before returns the place in the chain before the manifest's.
func (m Manifest) before() Position {
	return Position{Revision: m.Revision - 1, Digest: m.Previous}
}

func manifestKey(p Position) string { return manifestPrefix + p.String() }
