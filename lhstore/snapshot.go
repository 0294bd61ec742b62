package lhstore

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// Snapshot is a complete configuration at one position. It is immutable; its successors
// share unchanged parts with it. The zero Snapshot is the empty configuration before the
// first revision.
type Snapshot struct {
	manifest Manifest
	// position is that of manifest; the zero Position before the first revision.
	position Position
	// config is sorted by names and holds no files.
	config lhconf.Config
	// texts holds the compressed files of each page.
	texts [PageCount]compressedFiles
	// hashes holds the hash of each page.
	hashes [PageCount]string
}

// Position returns the snapshot's position in the chain.
func (s *Snapshot) Position() Position { return s.position }

// ChangeID returns the ID of the change that created the snapshot's revision.
func (s *Snapshot) ChangeID() string { return s.manifest.ChangeID }

// File returns the text of a file, and whether the file exists.
func (s *Snapshot) File(name string) (string, bool) {
	text, found := s.texts[pageIndex(name)].files()[name]
	return text, found
}

// Files returns the texts of all files by name.
func (s *Snapshot) Files() map[string]string {
	files := map[string]string{}
	for _, t := range s.texts {
		maps.Copy(files, t.files())
	}
	return files
}

// Config returns the configuration of the snapshot, sorted by names. The caller must
// not modify the elements of its slices.
func (s *Snapshot) Config() lhconf.Config {
	config := s.configWithoutFiles()
	config.Files = s.Files()
	return config
}

// configWithoutFiles returns the configuration without its files.
func (s *Snapshot) configWithoutFiles() lhconf.Config {
	config := s.config
	config.Revision = s.position.Revision
	config.NextNumber = s.manifest.NextNumber
	return config
}

// pages returns the wanted pages; the others are empty.
func (s *Snapshot) pages(wanted *[PageCount]bool) []page {
	pages := make([]page, PageCount)
	for i := range pages {
		if wanted[i] {
			pages[i] = page{Files: s.texts[i].files(), Declarations: map[string]Declaration{}}
		}
	}
	for name, d := range declarations(&s.config) {
		if i := name.page(); wanted[i] {
			pages[i].Declarations[name.String()] = d
		}
	}
	return pages
}

// allPages returns all pages.
func (s *Snapshot) allPages() []page {
	var wanted [PageCount]bool
	for i := range wanted {
		wanted[i] = true
	}
	return s.pages(&wanted)
}

// setPages sets the contents to those of pages.
func (s *Snapshot) setPages(pages []page) {
	interned := interner{}
	s.config = lhconf.Config{}
	for i, p := range pages {
		s.texts[i] = compressFiles(p.Files)
		for _, d := range p.Declarations {
			interned.addTo(&s.config, d)
		}
	}
	sortConfig(&s.config)
}

// successor returns the next revision, with changed files and the declarations of
// config.
func (s *Snapshot) successor(changeID string, files []FileText, config lhconf.Config) Snapshot {
	m := Manifest{
		Revision:     s.position.Revision + 1,
		ChangeID:     changeID,
		Previous:     s.position.Digest,
		NextNumber:   config.NextNumber,
		Files:        files,
		Declarations: s.diff(config),
	}
	next := s.withChanges(m)
	if changesSize(m) > inlineLimit {
		m.Files, m.Declarations, m.ChangesOmitted = nil, nil, true
	}
	next.setManifest(m)
	return next
}

// patch returns the snapshot that results from the changes of m, a manifest that may
// lack its pages. It fails unless the result has the position want.
func (s *Snapshot) patch(m Manifest, want Position) (Snapshot, error) {
	if m.ChangesOmitted || m.parent() != s.position {
		return Snapshot{}, lhcode.Newf(lhcode.NotFound, "manifest %v does not list changes since %v", want, s.position)
	}
	next := s.withChanges(m)
	next.setManifest(m)
	if next.position != want {
		return Snapshot{}, lhcode.Newf(lhcode.Internal, "changes of manifest %v result in %v", want, next.position)
	}
	return next, nil
}

// withChanges returns a copy with the changes of m, but still with the position of s.
func (s *Snapshot) withChanges(m Manifest) Snapshot {
	next := *s
	next.config = applyChanges(s.config, m.Declarations)
	var files, touched [PageCount]bool
	for _, f := range m.Files {
		i := pageIndex(f.Name)
		files[i], touched[i] = true, true
	}
	for _, d := range m.Declarations {
		touched[pageIndex(d.Name)] = true
	}
	pages := next.pages(&touched)
	for _, f := range m.Files {
		at := pages[pageIndex(f.Name)].Files
		if f.Removed {
			delete(at, f.Name)
		} else {
			at[f.Name] = f.Text
		}
	}
	for i, p := range pages {
		if touched[i] {
			next.hashes[i] = p.hash()
		}
		if files[i] {
			next.texts[i] = compressFiles(p.Files)
		}
	}
	return next
}

// setManifest sets the snapshot's manifest to m, with the hashes of its pages.
func (s *Snapshot) setManifest(m Manifest) {
	m.Pages = slices.Clone(s.hashes[:])
	s.manifest, s.position = m, m.Position()
}

// diff returns the changes that lead from the snapshot's declarations to those of
// config.
func (s *Snapshot) diff(config lhconf.Config) []DeclarationChange {
	var changes []DeclarationChange
	previous := maps.Collect(declarations(&s.config))
	for name, d := range declarations(&config) {
		if !d.equal(previous[name]) {
			changes = append(changes, DeclarationChange{Name: name.String(), Declaration: d})
		}
		delete(previous, name)
	}
	for name := range previous {
		changes = append(changes, DeclarationChange{Name: name.String()})
	}
	slices.SortFunc(changes, func(a, b DeclarationChange) int { return strings.Compare(a.Name, b.Name) })
	return changes
}

// Open returns the snapshot that the store's head refers to.
func Open(ctx context.Context, store Getter) (Snapshot, error) {
	now, err := readHead(ctx, store)
	if err != nil {
		return Snapshot{}, err
	}
	return load(ctx, store, &Snapshot{}, now.Position)
}

// load returns the snapshot that the store holds at a position. Parts that it has in
// common with base are not read.
func load(ctx context.Context, store Getter, base *Snapshot, at Position) (Snapshot, error) {
	if at == base.position {
		return *base, nil
	}
	if at.Revision == 0 {
		return Snapshot{}, nil
	}
	m, err := readManifest(ctx, store, at)
	if err != nil {
		return Snapshot{}, err
	}
	if next, err := base.patch(m, at); err == nil {
		return next, nil
	}
	next := Snapshot{manifest: m, position: at, hashes: [PageCount]string(m.Pages)}
	pages := base.allPages()
	for i, hash := range m.Pages {
		if hash == base.hashes[i] {
			continue
		}
		if pages[i], err = readPage(ctx, store, hash); err != nil {
			return Snapshot{}, err
		}
	}
	next.setPages(pages)
	return next, nil
}

func readManifest(ctx context.Context, store Getter, at Position) (Manifest, error) {
	var m Manifest
	value, err := store.Get(ctx, manifestKey(at))
	if err != nil {
		return m, err
	}
	if err := unpack(value.Data, &m); err != nil {
		return m, err
	}
	if m.Position() != at || len(m.Pages) != PageCount {
		return m, lhcode.Newf(lhcode.Internal, "manifest %v is corrupt", at)
	}
	return m, nil
}

func readPage(ctx context.Context, store Getter, hash string) (page, error) {
	var p page
	if hash == "" {
		return p, nil
	}
	value, err := store.Get(ctx, pageKey(hash))
	if err != nil {
		return p, err
	}
	if err := unpack(value.Data, &p); err != nil {
		return p, err
	}
	if p.hash() != hash {
		return p, lhcode.Newf(lhcode.Internal, "page %s is corrupt", hash)
	}
	return p, nil
}

// changesSize returns the approximate size of the changes that m lists, in bytes.
func changesSize(m Manifest) int {
	total := 0
	for _, f := range m.Files {
		total += len(f.Name) + len(f.Text)
	}
	return total + len(m.Declarations)*declarationSize
}
