package lhstore

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
)

const (
	// manifestPrefix is the prefix of the keys of manifests.
	manifestPrefix = "manifest/"
	// inlineLimit is the maximum size of the changes that a manifest lists, in bytes of
	// text. For larger changes, the pages of the two revisions have to be compared.
	inlineLimit = 64 << 10
	// declarationSize is the assumed size of a declaration in bytes.
	declarationSize = 256
)

// FileText is the state of a file after a change.
type FileText struct {
	Name string `json:"name"`
	Text string `json:"text,omitempty"`
	// Removed is set if the file was removed; Text is then empty.
	Removed bool `json:"removed,omitempty"`
}

// Manifest describes the contents of a revision and its changes. It is immutable once
// the head has referred to it.
type Manifest struct {
	Revision uint64 `json:"revision"`
	// ChangeID is the ID of the change that created the revision.
	ChangeID string `json:"apply"`
	// Previous is the digest of the previous revision's manifest.
	Previous uint64 `json:"previous"`
	// NextNumber is the number for the next new backend server.
	NextNumber uint32 `json:"next"`
	// Pages holds the hash of each page, empty for an empty page. It is left out
	// between peers; the receiver computes the hashes from its own pages and the
	// changes.
	Pages []string `json:"pages,omitempty"`
	// Files and Declarations are the changes of the revision, sorted by name; both are
	// empty if ChangesOmitted is set.
	Files        []FileText          `json:"files,omitempty"`
	Declarations []DeclarationChange `json:"declared,omitempty"`
	// ChangesOmitted is set if the changes are too large to be listed.
	ChangesOmitted bool `json:"bulk,omitempty"`
}

// Position returns the position of the revision.
func (m Manifest) Position() Position {
	data, _ := json.Marshal(m)
	sum := sha256.Sum256(data)
	return Position{Revision: m.Revision, Digest: binary.BigEndian.Uint64(sum[:8])}
}

// parent returns the position of the previous revision.
func (m Manifest) parent() Position {
	return Position{Revision: m.Revision - 1, Digest: m.Previous}
}

func manifestKey(p Position) string { return manifestPrefix + p.String() }
