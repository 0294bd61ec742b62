package lhstore

import (
	"context"
	"fmt"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Restore brings a store that was rolled back to an older state up to date. The snapshot
// must be that of the highest position that a VM holds. If the store's head is lower, it
// is set to the snapshot's position, which requires nothing of the VMs. If it has the
// same revision but a diverged chain, the snapshot's files become the next revision, so
// that all VMs converge. A higher head is not changed, as VMs load it by themselves.
func Restore(ctx context.Context, store Store, id string, snapshot *Snapshot) (Position, error) {
	before, err := ensureHead(ctx, store)
	if err != nil {
		return Position{}, err
	}
	if before.Position == snapshot.position {
		return snapshot.position, nil
	}
	if before.Newer(snapshot.position) {
		return Position{}, lhcode.Newf(lhcode.RevisionLower, "the store has revision %v, higher than %v", before.Position, snapshot.position)
	}
	next := *snapshot
	if before.Revision == snapshot.position.Revision {
		next = snapshot.successor(id, nil, snapshot.Config())
	}
	stamp := fmt.Sprintf("%s turn %d", id, before.Generation)
	if err := writeSnapshot(ctx, store, &Snapshot{}, &next, stamp); err != nil {
		return Position{}, err
	}
	after := before
	after.Position = next.position
	return next.position, swapHead(ctx, store, before, after)
}
