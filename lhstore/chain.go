package lhstore

import (
	"context"
	"iter"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// link is a revision's changes with the position they lead to.
type link struct {
	At       Position `json:"at"`
	Manifest Manifest `json:"manifest"`
}

// chain yields the revisions from a position back to the first. It ends with an
// error where a manifest can't be read, as compaction leaves it behind.
func chain(ctx context.Context, store Getter, at Position) iter.Seq2[link, error] {
	return func(yield func(link, error) bool) {
		for at.Revision > 0 {
			m, err := readManifest(ctx, store, at)
			if !yield(link{At: at, Manifest: m}, err) || err != nil {
				return
			}
			at = m.before()
		}
	}
}

// Chain returns the manifests of the latest revisions, the newest first, at most
// limit of them and none that compaction has removed.
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
