package lhstore_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

func TestLeaseCheck(t *testing.T) {
	asked := time.Unix(100, 0)
	cases := []struct {
		name  string
		lease lhstore.Lease
		after time.Duration
		want  lhcode.Code
	}{
		{"zero", lhstore.Lease{}, 0, lhcode.LeaseLost},
		{"fresh", lhstore.NewLease(1, asked), 0, lhcode.OK},
		{"before the margin", lhstore.NewLease(1, asked), lhstore.LeaseTTL - lhstore.LeaseMargin - 1, lhcode.OK},
		{"within the margin", lhstore.NewLease(1, asked), lhstore.LeaseTTL - lhstore.LeaseMargin, lhcode.LeaseLost},
	}
	for _, c := range cases {
		assert.Equal(t, lhcode.Of(c.lease.Check(asked.Add(c.after))), c.want, c.name)
	}
}

// applyText changes the text of file a.
func applyText(t *testing.T, store lhstore.Store, from, to string) {
	t.Helper()
	c := change(from+">"+to, fileChange("a", to))
	if from != "" {
		c.Files[0].Base = lhstore.Hash(from)
	}
	_, err := newApplier(store).Apply(t.Context(), c)
	assert.NilError(t, err)
}

func TestCompactKeepsReferencedValues(t *testing.T) {
	_, store := startPlatform(t)
	for i := range 10 {
		from := ""
		if i > 0 {
			from = fmt.Sprint("text ", i-1)
		}
		applyText(t, store, from, fmt.Sprint("text ", i))
	}
	c := lhstore.NewCompactor(store, "vm-1", 3, time.Now)
	removed, err := c.Compact(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, removed >= 7, "removed %d", removed)
	manifests, err := store.List(t.Context(), "manifest/")
	assert.NilError(t, err)
	assert.Equal(t, len(manifests), 3)
	s, err := lhstore.Open(t.Context(), store)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Files(), map[string]string{"a": "text 9"})
}

// TestCompactReleasesLease checks that another VM can compact at once after a run that found
// no garbage, or that failed.
func TestCompactReleasesLease(t *testing.T) {
	cases := []struct {
		name string
		// failing is the kind of call that fails, if any.
		failing string
		garbage bool
		want    lhcode.Code
	}{
		{"no garbage", "", false, lhcode.OK},
		{"garbage", "", true, lhcode.OK},
		{"listing fails", "list", true, lhcode.StoreUnavailable},
		{"deletion fails", "delete", true, lhcode.OutcomeUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, store := startPlatform(t)
			applyText(t, store, "", "x")
			if c.garbage {
				applyText(t, store, "x", "y")
			}
			failing := &failingClient{Client: store, at: c.failing}
			_, err := lhstore.NewCompactor(failing, "vm-1", 1, time.Now).Compact(t.Context())
			assert.Equal(t, lhcode.Of(err), c.want)
			_, err = lhstore.NewCompactor(store, "vm-2", 1, time.Now).Compact(t.Context())
			assert.NilError(t, err)
		})
	}
}

// failingClient fails all calls of the kind at.
type failingClient struct {
	*lhstore.Client
	at string
}

func (c *failingClient) List(ctx context.Context, prefix string) ([]lhstore.Entry, error) {
	if c.at == "list" {
		return nil, lhcode.New(lhcode.StoreUnavailable, "list: down")
	}
	return c.Client.List(ctx, prefix)
}

func (c *failingClient) Delete(ctx context.Context, key, etag string) error {
	if c.at == "delete" {
		return lhcode.New(lhcode.OutcomeUnknown, "delete: down")
	}
	return c.Client.Delete(ctx, key, etag)
}

// TestDeleteError checks that the error of a failed deletion names what failed.
func TestDeleteError(t *testing.T) {
	_, store := startPlatform(t)
	err := store.Delete(t.Context(), "missing", "no such tag")
	assert.ErrorContains(t, err, "delete missing")
}

// TestPausedCompaction pauses the lease holder before its swap of the head or before its
// deletes, until its lease has expired and an apply has made the garbage part of the
// configuration again. A holder that deletes regardless of ETags destroys it.
func TestPausedCompaction(t *testing.T) {
	cases := []struct {
		name       string
		pause      string
		ignoreETag bool
		want       lhcode.Code
		lost       bool
	}{
		{"before the swap", "swap", false, lhcode.PreconditionFailed, false},
		{"before the deletes", "delete", false, lhcode.LeaseLost, false},
		{"before the deletes, ignoring ETags", "delete", true, lhcode.OK, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, store := startPlatform(t)
			applyText(t, store, "", "x")
			applyText(t, store, "x", "y")
			now := time.Now()
			paused := &pausingClient{Client: store, at: c.pause, ignoreETag: c.ignoreETag}
			paused.resume = func() {
				if !c.ignoreETag {
					now = now.Add(lhstore.LeaseTTL)
				}
				applyText(t, store, "y", "x")
			}
			holder := lhstore.NewCompactor(paused, "vm-1", 1, func() time.Time { return now })
			_, err := holder.Compact(t.Context())
			assert.Equal(t, lhcode.Of(err), c.want)
			_, err = lhstore.Open(t.Context(), store)
			assert.Equal(t, err != nil, c.lost)
		})
	}
}

// pausingClient calls resume once before the first call of the kind at.
type pausingClient struct {
	*lhstore.Client
	at         string
	ignoreETag bool
	resume     func()
}

func (p *pausingClient) pause(at string) {
	if at == p.at && p.resume != nil {
		resume := p.resume
		p.resume = nil
		resume()
	}
}

func (p *pausingClient) CompareAndSwap(ctx context.Context, key, etag string, data []byte) (string, error) {
	p.pause("swap")
	return p.Client.CompareAndSwap(ctx, key, etag, data)
}

func (p *pausingClient) Delete(ctx context.Context, key, etag string) error {
	p.pause("delete")
	if !p.ignoreETag {
		return p.Client.Delete(ctx, key, etag)
	}
	value, err := p.Get(ctx, key)
	if err != nil {
		return err
	}
	return p.Client.Delete(ctx, key, value.ETag)
}

// TestCompactDeletesByETag pauses a holder whose clock stops as well, so that it does not
// notice the expiry of its lease. Only the ETags protect the pages then.
func TestCompactDeletesByETag(t *testing.T) {
	_, store := startPlatform(t)
	applyText(t, store, "", "x")
	applyText(t, store, "x", "y")
	paused := &pausingClient{Client: store, at: "delete", resume: func() { applyText(t, store, "y", "x") }}
	frozen := time.Now()
	_, err := lhstore.NewCompactor(paused, "vm-1", 1, func() time.Time { return frozen }).Compact(t.Context())
	assert.NilError(t, err)
	s, err := lhstore.Open(t.Context(), store)
	assert.NilError(t, err)
	assert.DeepEqual(t, s.Files(), map[string]string{"a": "x"})
}

// TestFencedCompaction lets a second holder acquire the expired lease and compact while
// the first is paused before its swap. The swap of the first must fail.
func TestFencedCompaction(t *testing.T) {
	var now time.Time
	p := &lhstand.Platform{Clock: func() time.Time { return now }}
	assert.NilError(t, p.Start())
	t.Cleanup(func() { _ = p.Close() })
	store := lhstore.NewClient(p.URL(), nil)
	applyText(t, store, "", "x")
	applyText(t, store, "x", "y")
	frozen := now
	paused := &pausingClient{Client: store, at: "swap", resume: func() {
		now = now.Add(2 * lhstore.LeaseTTL)
		second := lhstore.NewCompactor(store, "vm-2", 1, func() time.Time { return now })
		removed, err := second.Compact(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, removed > 0)
	}}
	_, err := lhstore.NewCompactor(paused, "vm-1", 1, func() time.Time { return frozen }).Compact(t.Context())
	assert.Equal(t, lhcode.Of(err), lhcode.PreconditionFailed)
}

func TestRestoreAfterRollback(t *testing.T) {
	cases := []struct {
		name string
		// applied lists the texts applied to the store after its rollback.
		applied  []string
		want     lhcode.Code
		revision uint64
	}{
		{"store is lower", nil, lhcode.OK, 2},
		{"store has diverged", []string{"p"}, lhcode.OK, 3},
		{"store is higher", []string{"p", "q"}, lhcode.RevisionLower, 3},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p, store := startPlatform(t)
			ctx := t.Context()
			applyText(t, store, "", "x")
			backup := p.Backup()
			applyText(t, store, "x", "y")
			held, err := lhstore.Open(ctx, store)
			assert.NilError(t, err)
			p.Restore(backup)

			// An apply that queries the VMs is rejected; only one that doesn't can make the
			// chain diverge.
			guarded := lhstore.NewApplier(store, checkLines, assignNumbers, fixedFleet{held.Position()})
			_, err = guarded.Apply(ctx, change("2", fileChange("b", "z")))
			assert.Equal(t, lhcode.Of(err), lhcode.RevisionLower)
			from := "x"
			for _, to := range c.applied {
				applyText(t, store, from, to)
				from = to
			}
			at, err := lhstore.Restore(ctx, store, "restore", &held)
			assert.Equal(t, lhcode.Of(err), c.want)
			s, err := lhstore.Open(ctx, store)
			assert.NilError(t, err)
			assert.Equal(t, s.Position().Revision, c.revision)
			if c.want == lhcode.OK {
				assert.Equal(t, s.Position(), at)
				assert.DeepEqual(t, s.Files(), held.Files())
				_, err = guarded.Apply(ctx, change("2", fileChange("b", "z")))
				assert.NilError(t, err)
			}
		})
	}
}

type fixedFleet struct{ highest lhstore.Position }

func (f fixedFleet) Highest(context.Context) (lhstore.Position, error) { return f.highest, nil }
