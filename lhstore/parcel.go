package lhstore

import (
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

const (
	// keptChanges is the number of revisions whose changes a VM keeps for peers,
	// and keptBytes bounds their text. A peer that lacks more gets the whole.
	keptChanges = 64
	keptBytes   = 1 << 20
)

// parcel is what one VM gives to another: the changes of consecutive revisions,
// or a whole snapshot.
type parcel struct {
	// At is the position that the parcel leads to.
	At Position `json:"at"`
	// Changes are manifests without their pages, in order; the last is of At.
	Changes []link `json:"changes,omitempty"`
	// Whole and Pages are set when Changes is empty.
	Whole *Manifest `json:"whole,omitempty"`
	Pages []page    `json:"pages,omitempty"`
}

// open returns the snapshot that the parcel leads to from held.
func (p *parcel) open(held *Snapshot) (Snapshot, error) {
	if p.Whole != nil {
		return p.whole()
	}
	next := *held
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

func (p *parcel) whole() (Snapshot, error) {
	s := Snapshot{manifest: *p.Whole, position: p.Whole.Position()}
	if s.position != p.At || len(p.Pages) != PageCount || len(p.Whole.Pages) != PageCount {
		return Snapshot{}, lhcode.Newf(lhcode.Internal, "the contents of %v are damaged", p.At)
	}
	for i, page := range p.Pages {
		if s.hashes[i] = page.hash(); s.hashes[i] != p.Whole.Pages[i] {
			return Snapshot{}, lhcode.Newf(lhcode.Internal, "page %d of %v is damaged", i, p.At)
		}
	}
	s.fill(p.Pages)
	return s, nil
}

// history holds the changes of the latest revisions, which follow each other.
type history []link

// add appends the changes that made s, dropping the oldest beyond the bounds.
func (h history) add(s *Snapshot) history {
	if s.manifest.Bulk {
		return nil
	}
	if len(h) > 0 && h[len(h)-1].At != s.manifest.before() {
		h = nil
	}
	m := s.manifest
	m.Pages = nil
	h = append(slices.Clone(h), link{At: s.position, Manifest: m})
	total := 0
	for i, c := range slices.Backward(h) {
		if total += size(c.Manifest); total > keptBytes || len(h)-i > keptChanges {
			return h[i+1:]
		}
	}
	return h
}

// since returns the changes after a revision, or nil where they are not all held.
func (h history) since(revision uint64) []link {
	for i, c := range h {
		if c.Manifest.Revision == revision+1 {
			return h[i:]
		}
	}
	return nil
}

// pack returns what a peer that holds a revision needs to get to s.
func (h history) pack(s *Snapshot, have uint64) ([]byte, error) {
	p := parcel{At: s.position}
	if p.Changes = h.since(have); have == 0 || p.Changes == nil {
		p.Changes = nil
		p.Whole = &s.manifest
		p.Pages = s.allPages()
	}
	return pack(p, "")
}
