package lhstore

import (
	"context"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
)

// Snapshot is a whole configuration at one position. It is never changed after
// it has been built; its successors share what they leave as it is. The zero
// Snapshot is the empty configuration before the first revision.
type Snapshot struct {
	manifest Manifest
	// position is that of manifest; the zero Position before the first revision.
	position Position
	// declared is sorted by names and holds no files.
	declared lhconf.Config
	// texts holds the files of each page, compressed.
	texts [PageCount]texts
	// hashes holds the hash of each page.
	hashes [PageCount]string
}

// Position returns the snapshot's place in the chain.
func (s *Snapshot) Position() Position { return s.position }

// Apply returns the ID of the apply that made the snapshot's revision.
func (s *Snapshot) Apply() string { return s.manifest.Apply }

// File returns the text of a file.
func (s *Snapshot) File(name string) (string, bool) {
	text, found := s.texts[pageOf(name)].files()[name]
	return text, found
}

// Files returns the text of all files by name.
func (s *Snapshot) Files() map[string]string {
	files := map[string]string{}
	for _, t := range s.texts {
		maps.Copy(files, t.files())
	}
	return files
}

// Config returns the configuration of the snapshot, sorted by names. The caller
// must not change what the slices hold.
func (s *Snapshot) Config() lhconf.Config {
	config := s.inForce()
	config.Files = s.Files()
	return config
}

// inForce returns the configuration without its files.
func (s *Snapshot) inForce() lhconf.Config {
	config := s.declared
	config.Revision = s.position.Revision
	config.NextNumber = s.manifest.NextNumber
	return config
}

// pages returns the pages that are wanted; the others are empty.
func (s *Snapshot) pages(wanted *[PageCount]bool) []page {
	pages := make([]page, PageCount)
	for i := range pages {
		if wanted[i] {
			pages[i] = page{Files: s.texts[i].files(), Declared: map[string]Declaration{}}
		}
	}
	for name, d := range declarations(&s.declared) {
		if i := name.page(); wanted[i] {
			pages[i].Declared[name.String()] = d
		}
	}
	return pages
}

// allPages returns every page.
func (s *Snapshot) allPages() []page {
	var wanted [PageCount]bool
	for i := range wanted {
		wanted[i] = true
	}
	return s.pages(&wanted)
}

// fill makes the contents those of pages.
func (s *Snapshot) fill(pages []page) {
	shared := words{}
	s.declared = lhconf.Config{}
	for i, p := range pages {
		s.texts[i] = pressTexts(p.Files)
		for _, d := range p.Declared {
			shared.addTo(&s.declared, d)
		}
	}
	sortConfig(&s.declared)
}

// successor returns the next revision, with files changed and what config declares.
func (s *Snapshot) successor(apply string, files []FileText, config lhconf.Config) Snapshot {
	m := Manifest{
		Revision:   s.position.Revision + 1,
		Apply:      apply,
		Previous:   s.position.Digest,
		NextNumber: config.NextNumber,
		Files:      files,
		Declared:   s.compare(config),
	}
	next := s.changed(m)
	if size(m) > inlineLimit {
		m.Files, m.Declared, m.Bulk = nil, nil, true
	}
	next.seal(m)
	return next
}

// patch returns the snapshot that follows by the changes of m, a manifest that
// may lack its pages. It fails unless the outcome has the position want.
func (s *Snapshot) patch(m Manifest, want Position) (Snapshot, error) {
	if m.Bulk || m.before() != s.position {
		return Snapshot{}, lhcode.Newf(lhcode.NotFound, "revision %v lists no changes to %v", want, s.position)
	}
	next := s.changed(m)
	next.seal(m)
	if next.position != want {
		return Snapshot{}, lhcode.Newf(lhcode.Internal, "revision %v came out as %v", want, next.position)
	}
	return next, nil
}

// changed returns a copy with the changes of m made and its old position.
func (s *Snapshot) changed(m Manifest) Snapshot {
	next := *s
	next.declared = edited(s.declared, m.Declared)
	var files, touched [PageCount]bool
	for _, f := range m.Files {
		i := pageOf(f.Name)
		files[i], touched[i] = true, true
	}
	for _, d := range m.Declared {
		touched[pageOf(d.Name)] = true
	}
	pages := next.pages(&touched)
	for _, f := range m.Files {
		at := pages[pageOf(f.Name)].Files
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
			next.texts[i] = pressTexts(p.Files)
		}
	}
	return next
}

// seal makes m the snapshot's manifest, with the hashes of the snapshot's pages.
func (s *Snapshot) seal(m Manifest) {
	m.Pages = slices.Clone(s.hashes[:])
	s.manifest, s.position = m, m.Position()
}

// compare returns how what config declares differs from the snapshot.
func (s *Snapshot) compare(config lhconf.Config) []DeclarationChange {
	var changes []DeclarationChange
	held := maps.Collect(declarations(&s.declared))
	for name, d := range declarations(&config) {
		if !d.equal(held[name]) {
			changes = append(changes, DeclarationChange{Name: name.String(), Declaration: d})
		}
		delete(held, name)
	}
	for name := range held {
		changes = append(changes, DeclarationChange{Name: name.String()})
	}
	slices.SortFunc(changes, func(a, b DeclarationChange) int { return strings.Compare(a.Name, b.Name) })
	return changes
}

// Open returns the snapshot that the store's head names.
func Open(ctx context.Context, store Getter) (Snapshot, error) {
	now, err := readHead(ctx, store)
	if err != nil {
		return Snapshot{}, err
	}
	return load(ctx, store, &Snapshot{}, now.Position)
}

// load returns the snapshot that the store holds at a position, taking from held
// what both have in common.
func load(ctx context.Context, store Getter, held *Snapshot, at Position) (Snapshot, error) {
	if at == held.position {
		return *held, nil
	}
	if at.Revision == 0 {
		return Snapshot{}, nil
	}
	m, err := readManifest(ctx, store, at)
	if err != nil {
		return Snapshot{}, err
	}
	if next, err := held.patch(m, at); err == nil {
		return next, nil
	}
	next := Snapshot{manifest: m, position: at, hashes: [PageCount]string(m.Pages)}
	pages := held.allPages()
	for i, hash := range m.Pages {
		if hash == held.hashes[i] {
			continue
		}
		if pages[i], err = readPage(ctx, store, hash); err != nil {
			return Snapshot{}, err
		}
	}
	next.fill(pages)
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
		return m, lhcode.Newf(lhcode.Internal, "manifest %v is damaged", at)
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
		return p, lhcode.Newf(lhcode.Internal, "page %s is damaged", hash)
	}
	return p, nil
}

// size returns the bytes of the changes that m lists.
func size(m Manifest) int {
	total := 0
	for _, f := range m.Files {
		total += len(f.Name) + len(f.Text)
	}
	return total + len(m.Declared)*declaredSize
}
