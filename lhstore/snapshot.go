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
// it has been built; its successors share the pages they leave as they are. The
// zero Snapshot is the empty configuration before the first revision.
type Snapshot struct {
	manifest Manifest
	// position is that of manifest; the zero Position before the first revision.
	position Position
	pages    [PageCount]page
	// hashes holds the hash of each page.
	hashes [PageCount]string
}

// Position returns the snapshot's place in the chain.
func (s *Snapshot) Position() Position { return s.position }

// Apply returns the ID of the apply that made the snapshot's revision.
func (s *Snapshot) Apply() string { return s.manifest.Apply }

// File returns the text of a file.
func (s *Snapshot) File(name string) (string, bool) {
	text, found := s.pages[pageOf(name)].Files[name]
	return text, found
}

// Files returns the text of all files by name.
func (s *Snapshot) Files() map[string]string {
	files := map[string]string{}
	for _, p := range s.pages {
		maps.Copy(files, p.Files)
	}
	return files
}

// Config returns the configuration of the snapshot, sorted by names.
func (s *Snapshot) Config() lhconf.Config {
	config := lhconf.Config{
		Revision:   s.position.Revision,
		NextNumber: s.manifest.NextNumber,
		Files:      s.Files(),
	}
	for _, p := range s.pages {
		for _, d := range p.Declared {
			d.addTo(&config)
		}
	}
	sortConfig(&config)
	return config
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
	var touched [PageCount]bool
	at := func(name string) page {
		i := pageOf(name)
		if !touched[i] {
			next.pages[i], touched[i] = next.pages[i].clone(), true
		}
		return next.pages[i]
	}
	for _, f := range m.Files {
		if f.Removed {
			delete(at(f.Name).Files, f.Name)
		} else {
			at(f.Name).Files[f.Name] = f.Text
		}
	}
	for _, d := range m.Declared {
		if d.removed() {
			delete(at(d.Name).Declared, d.Name)
		} else {
			at(d.Name).Declared[d.Name] = d.Declaration
		}
	}
	for i, changed := range touched {
		if changed {
			next.hashes[i] = next.pages[i].hash()
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
	wanted := declarations(config)
	for name, d := range wanted {
		if !d.equal(s.pages[pageOf(name)].Declared[name]) {
			changes = append(changes, DeclarationChange{Name: name, Declaration: d})
		}
	}
	for _, p := range s.pages {
		for name := range p.Declared {
			if wanted[name].removed() {
				changes = append(changes, DeclarationChange{Name: name})
			}
		}
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
	for i, hash := range m.Pages {
		if hash == held.hashes[i] {
			next.pages[i] = held.pages[i]
			continue
		}
		if next.pages[i], err = readPage(ctx, store, hash); err != nil {
			return Snapshot{}, err
		}
	}
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
