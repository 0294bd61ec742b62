package lhstore

import (
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// maxHistoryLength is the number of revisions whose changes a VM keeps for peers,
	// and maxHistorySize the limit of their size in bytes of text. A peer that is
	// further behind receives a complete snapshot.
	maxHistoryLength = 64
	maxHistorySize   = 1 << 20
)

// peerUpdate is what a VM sends to a peer: the changes of consecutive revisions, or a
// complete snapshot.
type peerUpdate struct {
	// At is the position of the receiver after the update.
	At Position `json:"at"`
	// Changes are manifests without their pages, in order; the last one is that of At.
	Changes []chainEntry `json:"changes,omitempty"`
	// Manifest and Pages are the complete snapshot; set if Changes is empty.
	Manifest *Manifest `json:"whole,omitempty"`
	Pages    []page    `json:"pages,omitempty"`
}

// applyTo returns the snapshot that results from the update of base.
func (p *peerUpdate) applyTo(base *Snapshot) (Snapshot, error) {
	if p.Manifest != nil {
		return p.snapshot()
	}
	next := *base
	for _, c := range p.Changes {
		if !c.At.Newer(next.position) {
			continue
		}
		var err error
		if next, err = next.patch(c.Manifest, c.At); err != nil {
			return Snapshot{}, err
		}
	}
	return next, nil
}

func (p *peerUpdate) snapshot() (Snapshot, error) {
	s := Snapshot{manifest: *p.Manifest, position: p.Manifest.Position()}
	if s.position != p.At || len(p.Pages) != PageCount || len(p.Manifest.Pages) != PageCount {
		return Snapshot{}, lhcode.Newf(lhcode.Internal, "contents of revision %v are corrupt", p.At)
	}
	for i, page := range p.Pages {
		if s.hashes[i] = page.hash(); s.hashes[i] != p.Manifest.Pages[i] {
			return Snapshot{}, lhcode.Newf(lhcode.Internal, "page %d of revision %v is corrupt", i, p.At)
		}
	}
	s.setPages(p.Pages)
	return s, nil
}

// history holds the changes of the latest revisions, which are consecutive.
type history []chainEntry

// add appends the changes that led to s and drops the oldest beyond the limits.
func (h history) add(s *Snapshot) history {
	if s.manifest.ChangesOmitted {
		return nil
	}
	if len(h) > 0 && h[len(h)-1].At != s.manifest.parent() {
		h = nil
	}
	m := s.manifest
	m.Pages = nil
	h = append(slices.Clone(h), chainEntry{At: s.position, Manifest: m})
	total := 0
	for i, c := range slices.Backward(h) {
		if total += changesSize(c.Manifest); total > maxHistorySize || len(h)-i > maxHistoryLength {
			return h[i+1:]
		}
	}
	return h
}

// since returns the changes after a revision, or nil if some of them are not kept.
func (h history) since(revision uint64) []chainEntry {
	for i, c := range h {
		if c.Manifest.Revision == revision+1 {
			return h[i:]
		}
	}
	return nil
}

// encodeUpdate returns the update to s for a peer that has a revision.
func (h history) encodeUpdate(s *Snapshot, have uint64) ([]byte, error) {
	p := peerUpdate{At: s.position}
	if p.Changes = h.since(have); have == 0 || p.Changes == nil {
		p.Changes = nil
		p.Manifest = &s.manifest
		p.Pages = s.allPages()
	}
	return pack(p, "")
}
