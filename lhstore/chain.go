package lhstore

import (
	"context"
	"iter"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// chainEntry is the manifest of a revision and its position.
type chainEntry struct {
	At       Position `json:"at"`
	Manifest Manifest `json:"manifest"`
}

// chain yields the revisions from a position back to the first. It stops with an error
// at a manifest that can't be read, such as one that compaction has removed.
func chain(ctx context.Context, store Getter, at Position) iter.Seq2[chainEntry, error] {
	return func(yield func(chainEntry, error) bool) {
		for at.Revision > 0 {
			m, err := readManifest(ctx, store, at)
			if !yield(chainEntry{At: at, Manifest: m}, err) || err != nil {
				return
			}
			at = m.parent()
		}
	}
}

// Chain returns the manifests of the latest revisions, newest first: at most limit of
// them, and none that compaction has removed.
func Chain(ctx context.Context, store Getter, limit int) ([]Manifest, error) {
	now, err := readHead(ctx, store)
	if err != nil {
		return nil, err
	}
	var manifests []Manifest
	for l, err := range chain(ctx, store, now.Position) {
		if len(manifests) == limit || lhcode.Of(err) == lhcode.NotFound {
			break
		}
		if err != nil {
			return nil, err
		}
		manifests = append(manifests, l.Manifest)
	}
	return manifests, nil
}
