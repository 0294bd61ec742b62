package lhstand

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

func startPlatform(t *testing.T) (*Platform, *lhstore.Client) {
	t.Helper()
	p := &Platform{}
	assert.NilError(t, p.Start())
	t.Cleanup(func() { _ = p.Close() })
	return p, lhstore.NewClient(p.URL(), nil)
}

func TestPlatformConditionalWrite(t *testing.T) {
	_, c := startPlatform(t)
	ctx := t.Context()
	first, err := c.CompareAndSwap(ctx, "a/b", "", []byte("1"))
	assert.NilError(t, err)
	cases := []struct {
		name, etag string
		want       lhcode.Code
	}{
		{"create an existing key", "", lhcode.PreconditionFailed},
		{"wrong tag", `"999"`, lhcode.PreconditionFailed},
		{"current tag", first, lhcode.OK},
		{"outdated tag", first, lhcode.PreconditionFailed},
	}
	for _, k := range cases {
		_, err := c.CompareAndSwap(ctx, "a/b", k.etag, []byte("2"))
		assert.Equal(t, lhcode.Of(err), k.want, k.name)
	}
	_, err = c.Get(ctx, "none")
	assert.Equal(t, lhcode.Of(err), lhcode.NotFound)
	_, err = c.Put(ctx, "big", make([]byte, lhstore.MaxValueSize+1))
	assert.Equal(t, lhcode.Of(err), lhcode.SettingRange)
	entries, err := c.List(ctx, "a/")
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 1)
	assert.Equal(t, lhcode.Of(c.Delete(ctx, "a/b", first)), lhcode.PreconditionFailed)
	assert.NilError(t, c.Delete(ctx, "a/b", entries[0].ETag))
}

func TestPlatformWatch(t *testing.T) {
	p, c := startPlatform(t)
	ctx := t.Context()
	etag, err := c.Put(ctx, "k", []byte("1"))
	assert.NilError(t, err)
	value, err := c.Watch(ctx, "k", etag, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, value.ETag, etag)

	seen := make(chan lhstore.Value, 1)
	go func() {
		value, _ := c.Watch(ctx, "k", etag, time.Minute)
		seen <- value
	}()
	_, err = c.Put(ctx, "k", []byte("2"))
	assert.NilError(t, err)
	assert.Equal(t, string((<-seen).Data), "2")
	counts := p.Counts()
	assert.Equal(t, counts.Watches, 2)
	assert.Equal(t, counts.Writes, 2)
	assert.Equal(t, counts.Total(), 4)
}

func TestPlatformFaults(t *testing.T) {
	p, c := startPlatform(t)
	ctx := t.Context()
	p.LoseReplies(0, 1)
	_, err := c.Put(ctx, "k", []byte("1"))
	assert.Equal(t, lhcode.Of(err), lhcode.OutcomeUnknown)
	value, err := c.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(value.Data), "1")

	backup := p.Backup()
	_, err = c.Put(ctx, "k", []byte("2"))
	assert.NilError(t, err)
	p.Restore(backup)
	older, err := c.Get(ctx, "k")
	assert.NilError(t, err)
	assert.Equal(t, string(older.Data), "1")
	assert.Assert(t, older.ETag != value.ETag)

	ended := make(chan error, 1)
	go func() {
		_, err := c.Watch(ctx, "k", older.ETag, time.Minute)
		ended <- err
	}()
	for p.Counts().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	p.SetDown(true)
	assert.Equal(t, lhcode.Of(<-ended), lhcode.StoreUnavailable)
	_, err = c.Get(ctx, "k")
	assert.Equal(t, lhcode.Of(err), lhcode.StoreUnavailable)
	p.SetDown(false)

	p.SetDelay(time.Hour)
	short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	_, err = c.Get(short, "k")
	assert.Equal(t, lhcode.Of(err), lhcode.StoreUnavailable)
	p.SetDelay(0)

	p.SetRateLimit(1)
	_, _ = c.Get(ctx, "k")
	_, err = c.Get(ctx, "k")
	assert.Equal(t, lhcode.Of(err), lhcode.StoreUnavailable)
}

func TestPlatformLeaseAndVMs(t *testing.T) {
	var now atomic.Int64
	p := &Platform{Clock: func() time.Time { return time.Unix(now.Load(), 0) }}
	assert.NilError(t, p.Start())
	t.Cleanup(func() { _ = p.Close() })
	c := lhstore.NewClient(p.URL(), nil)
	ctx := t.Context()

	steps := []struct {
		at     int64
		holder string
		fence  uint64
		want   lhcode.Code
	}{
		{0, "a", 1, lhcode.OK},
		{5, "b", 0, lhcode.LeaseLost},
		{9, "a", 1, lhcode.OK},
		{18, "b", 0, lhcode.LeaseLost},
		{20, "b", 2, lhcode.OK},
		{21, "a", 0, lhcode.LeaseLost},
		{40, "a", 3, lhcode.OK},
	}
	for _, s := range steps {
		now.Store(s.at)
		fence, err := c.Grant(ctx, "lease", s.holder, 10*time.Second)
		assert.Equal(t, lhcode.Of(err), s.want)
		assert.Equal(t, fence, s.fence)
	}

	p.SetVMListLag(30 * time.Second)
	p.SetVMs([]lhstore.VM{{Name: "vm-1"}})
	vms, err := c.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 0)
	now.Store(71)
	vms, err = c.VMs(ctx)
	assert.NilError(t, err)
	assert.Equal(t, len(vms), 1)
}

// TestEndWatchesIncludesCountedWatch guards against a watch that survives
// EndWatches because it is counted but not waiting yet. Tests poll Counts and treat
// a counted watch as waiting.
func TestEndWatchesIncludesCountedWatch(t *testing.T) {
	p, c := startPlatform(t)
	p.SetDelay(50 * time.Millisecond)
	ended := make(chan error, 1)
	go func() {
		_, err := c.Watch(context.Background(), "a", "", time.Minute)
		ended <- err
	}()
	for p.Counts().Watches == 0 {
		time.Sleep(time.Millisecond)
	}
	p.EndWatches()
	assert.Equal(t, lhcode.Of(<-ended), lhcode.StoreUnavailable)
}
