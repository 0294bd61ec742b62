package lhstore

import (
	"context"
	"fmt"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// Restore brings a store that returned to an older state back to what the VMs
// hold. The snapshot must be of the highest position that a VM holds. Where the
// store's head is lower it becomes the snapshot's position, which VMs don't notice.
// Where it has the same revision from a chain that parted, the snapshot's files
// become the next revision, so that all VMs agree again. A higher head is left
// alone: VMs take it by themselves.
func Restore(ctx context.Context, store Store, id string, held *Snapshot) (Position, error) {
	before, err := ensureHead(ctx, store)
	if err != nil {
		return Position{}, err
	}
	if before.Position == held.position {
		return held.position, nil
	}
	if before.Newer(held.position) {
		return Position{}, lhcode.Newf(lhcode.RevisionLower, "the store holds %v, above %v", before.Position, held.position)
	}
	next := *held
	if before.Revision == held.position.Revision {
		next = held.successor(id, nil, held.Config())
	}
	stamp := fmt.Sprintf("%s turn %d", id, before.Turn)
	if err := writeSnapshot(ctx, store, &Snapshot{}, &next, stamp); err != nil {
		return Position{}, err
	}
	after := before
	after.Position = next.position
	return next.position, swapHead(ctx, store, before, after)
}
