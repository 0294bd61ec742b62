package lhstore_test

import (
	"context"
	"fmt"
	"maps"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

func startPlatform(t testing.TB) (*lhstand.Platform, *lhstore.Client) {
	t.Helper()
	p := &lhstand.Platform{}
	assert.NilError(t, p.Start())
	t.Cleanup(func() { _ = p.Close() })
	return p, lhstore.NewClient(p.URL(), nil)
}

// checkLines turns each line of a file into a server of that name, and rejects files
// that contain "bad".
func checkLines(files map[string]string) (lhconf.Config, error) {
	config := lhconf.Config{Files: maps.Clone(files)}
	for name, text := range files {
		if strings.Contains(text, "bad") {
			return lhconf.Config{}, lhcode.Newf(lhcode.SettingInvalid, "%s: bad", name)
		}
		for line := range strings.Lines(text) {
			config.Servers = append(config.Servers, lhconf.BackendServer{
				Name: strings.TrimSpace(line), Service: "s", Address: netip.MustParseAddrPort("127.0.0.1:9"),
			})
		}
	}
	return config, nil
}

func assignNumbers(previous, next lhconf.Config) lhconf.Config {
	known := map[string]uint32{}
	for _, b := range previous.Servers {
		known[b.Name] = b.Number
	}
	next.NextNumber = max(previous.NextNumber, 1)
	for i := range next.Servers {
		b := &next.Servers[i]
		if b.Number = known[b.Name]; b.Number == 0 {
			b.Number = next.NextNumber
			next.NextNumber++
		}
	}
	return next
}

// startConfigured starts a platform with a first revision that consists of file z.
func startConfigured(t *testing.T) (*lhstand.Platform, *lhstore.Client) {
	t.Helper()
	p, store := startPlatform(t)
	_, err := newApplier(store).Apply(t.Context(), change("0", fileChange("z", "z")))
	assert.NilError(t, err)
	return p, store
}

func newApplier(store lhstore.Store) *lhstore.Applier {
	return lhstore.NewApplier(store, checkLines, assignNumbers, nil)
}

func fileChange(name, text string) lhstore.FileChange {
	return lhstore.FileChange{FileText: lhstore.FileText{Name: name, Text: text}}
}

func change(id string, files ...lhstore.FileChange) lhstore.Change {
	return lhstore.Change{ID: id, Files: files}
}

// hookedStore calls hook before each swap, to simulate a concurrent operator.
type hookedStore struct {
	lhstore.Store
	hook func(key string)
}

func (h hookedStore) CompareAndSwap(ctx context.Context, key, etag string, data []byte) (string, error) {
	h.hook(key)
	return h.Store.CompareAndSwap(ctx, key, etag, data)
}

// applyUnconditionally overwrites the configuration without a compare-and-swap.
func applyUnconditionally(ctx context.Context, store lhstore.Store, c lhstore.Change, hook func()) error {
	merged := map[string]string{}
	for _, f := range c.Files {
		merged[f.Name] = f.Text
	}
	hook()
	_, err := store.Put(ctx, "unconditional", []byte(fmt.Sprint(merged)))
	return err
}

func TestConcurrentApply(t *testing.T) {
	cases := []struct {
		name          string
		first, second lhstore.Change
		want          lhcode.Code
		files         map[string]string
	}{
		{
			"two files", change("1", fileChange("a", "x")), change("2", fileChange("b", "y")),
			lhcode.OK,
			map[string]string{"a": "x", "b": "y", "z": "z"},
		},
		{
			"one file", change("1", fileChange("a", "x")), change("2", fileChange("a", "y")),
			lhcode.Conflict,
			map[string]string{"a": "x", "z": "z"},
		},
		{
			"one file, same text", change("1", fileChange("a", "x")), change("2", fileChange("a", "x")),
			lhcode.OK,
			map[string]string{"a": "x", "z": "z"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, store := startConfigured(t)
			ctx := t.Context()
			raced := false
			racing := hookedStore{store, func(string) {
				if !raced {
					raced = true
					_, err := newApplier(store).Apply(ctx, c.first)
					assert.NilError(t, err)
				}
			}}
			result, err := newApplier(racing).Apply(ctx, c.second)
			assert.Equal(t, lhcode.Of(err), c.want)
			assert.Equal(t, result.Attempts, 2)
			s, err := lhstore.Open(ctx, store)
			assert.NilError(t, err)
			assert.DeepEqual(t, s.Files(), c.files)

			// An unconditional write loses the first change in each case.
			err = applyUnconditionally(ctx, store, c.second, func() {
				assert.NilError(t, applyUnconditionally(ctx, store, c.first, func() {}))
			})
			assert.NilError(t, err)
			value, err := store.Get(ctx, "unconditional")
			assert.NilError(t, err)
			lost := fmt.Sprint(map[string]string{c.second.Files[0].Name: c.second.Files[0].Text})
			assert.Equal(t, string(value.Data), lost)
		})
	}
}

// racingFleet applies another operator's change between the read of the head and the
// query of the VMs, which then already hold the new revision.
type racingFleet struct {
	t     *testing.T
	store lhstore.Store
	at    *lhstore.Position
}

func (f racingFleet) Highest(ctx context.Context) (lhstore.Position, error) {
	if *f.at == (lhstore.Position{}) {
		result, err := newApplier(f.store).Apply(ctx, change("1", fileChange("a", "x")))
		assert.NilError(f.t, err)
		*f.at = result.Position
	}
	return *f.at, nil
}

func TestApplyHeadChangedBeforeFleetQuery(t *testing.T) {
	_, store := startConfigured(t)
	fleet := racingFleet{t, store, &lhstore.Position{}}
	guarded := lhstore.NewApplier(store, checkLines, assignNumbers, fleet)
	result, err := guarded.Apply(t.Context(), change("2", fileChange("b", "y")))
	assert.NilError(t, err)
	assert.Equal(t, result.Position.Revision, uint64(3))
}

func TestApplyRejectsInvalidFiles(t *testing.T) {
	_, store := startPlatform(t)
	_, err := newApplier(store).Apply(t.Context(), change("1", fileChange("a", "x"), fileChange("b", "bad")))
	assert.Equal(t, lhcode.Of(err), lhcode.SettingInvalid)
	s, err := lhstore.Open(t.Context(), store)
	assert.NilError(t, err)
	assert.Equal(t, s.Position(), lhstore.Position{})
}

func TestApplyKeepsNumbers(t *testing.T) {
	_, store := startPlatform(t)
	ctx := t.Context()
	a := newApplier(store)
	number := func(name string) uint32 {
		s, err := lhstore.Open(ctx, store)
		assert.NilError(t, err)
		for _, b := range s.Config().Servers {
			if b.Name == name {
				return b.Number
			}
		}
		return 0
	}
	steps := []struct{ base, text, server string }{
		{"", "p", "p"}, {"p", "q", "q"}, {"q", "p", "p"}, {"p", "p\nq", "p"},
	}
	assigned := []uint32{}
	for i, step := range steps {
		c := change(fmt.Sprint(i), fileChange("a", step.text))
		if step.base != "" {
			c.Files[0].Base = lhstore.Hash(step.base)
		}
		_, err := a.Apply(ctx, c)
		assert.NilError(t, err)
		assigned = append(assigned, number(step.server))
	}
	assert.DeepEqual(t, assigned, []uint32{1, 2, 3, 3})
}

// TestLostReply loses the response to each write of an apply in turn. An operator who
// merely repeats a failed write can't tell its own change from another's.
func TestLostReply(t *testing.T) {
	cases := []struct {
		skip int
		want lhcode.Code
	}{
		{0, lhcode.StoreUnavailable}, // the page of the file
		{1, lhcode.StoreUnavailable}, // the page of the server
		{2, lhcode.StoreUnavailable}, // the manifest
		{3, lhcode.OK},               // the head
	}
	for _, c := range cases {
		p, store := startConfigured(t)
		p.LoseReplies(c.skip, 1)
		result, err := newApplier(store).Apply(t.Context(), change("1", fileChange("a", "x")))
		assert.Equal(t, lhcode.Of(err), c.want)
		s, err := lhstore.Open(t.Context(), store)
		assert.NilError(t, err)
		if c.want == lhcode.OK {
			assert.Equal(t, s.Position(), result.Position)
		}
		assert.Equal(t, s.Position().Revision == 2, c.want == lhcode.OK)
	}
}

// TestOutcomeUnknown disconnects the store during the swap of the head, whether or not
// the swap takes effect, and looks up the outcome later with the printed ticket.
func TestOutcomeUnknown(t *testing.T) {
	for _, done := range []bool{true, false} {
		p, store := startConfigured(t)
		ctx := t.Context()
		disconnecting := disconnectingClient{Client: store, platform: p, done: done}
		result, err := newApplier(disconnecting).Apply(ctx, change("1", fileChange("a", "x")))
		assert.Equal(t, lhcode.Of(err), lhcode.OutcomeUnknown)
		ticket, err := lhstore.ParseTicket(result.Ticket.String())
		assert.NilError(t, err)
		_, err = newApplier(store).Lookup(ctx, ticket)
		assert.Equal(t, lhcode.Of(err), lhcode.OutcomeUnknown)

		// Another operator applies a change before the first one looks up the outcome.
		p.SetDown(false)
		_, err = newApplier(store).Apply(ctx, change("2", fileChange("b", "y")))
		assert.NilError(t, err)
		retry := change("1", fileChange("a", "x"))
		retry.PreviousAttempt = &ticket
		again, err := newApplier(store).Apply(ctx, retry)
		assert.NilError(t, err)
		want := uint64(3)
		if done {
			want = 2
		}
		assert.Equal(t, again.Position.Revision, want)
		s, err := lhstore.Open(ctx, store)
		assert.NilError(t, err)
		assert.Equal(t, s.Position().Revision, uint64(3))
	}
}

// disconnectingClient takes the platform down during the swap of the head. The swap
// takes effect if done is set.
type disconnectingClient struct {
	*lhstore.Client
	platform *lhstand.Platform
	done     bool
}

func (c disconnectingClient) CompareAndSwap(ctx context.Context, key, etag string, data []byte) (string, error) {
	if c.done {
		_, _ = c.Client.CompareAndSwap(ctx, key, etag, data)
	}
	c.platform.SetDown(true)
	return "", lhcode.New(lhcode.OutcomeUnknown, "no response")
}

// TestDelayedSwap delivers a swap of the head late, after its change was reported as not
// accepted and applied again. The late swap must fail.
func TestDelayedSwap(t *testing.T) {
	_, store := startConfigured(t)
	ctx := t.Context()
	delayed := &delayedSwapClient{Client: store}
	_, err := newApplier(delayed).Apply(ctx, change("1", fileChange("a", "x")))
	assert.NilError(t, err)
	assert.Equal(t, lhcode.Of(delayed.deliver(ctx)), lhcode.PreconditionFailed)
	s, err := lhstore.Open(ctx, store)
	assert.NilError(t, err)
	assert.Equal(t, s.Position().Revision, uint64(2))
}

// delayedSwapClient delays the first swap and reports that its response was lost.
type delayedSwapClient struct {
	*lhstore.Client
	deliver func(context.Context) error
}

func (d *delayedSwapClient) CompareAndSwap(ctx context.Context, key, etag string, data []byte) (string, error) {
	if d.deliver != nil {
		return d.Client.CompareAndSwap(ctx, key, etag, data)
	}
	d.deliver = func(ctx context.Context) error {
		_, err := d.Client.CompareAndSwap(ctx, key, etag, data)
		return err
	}
	return "", lhcode.New(lhcode.OutcomeUnknown, "no response")
}

func TestApplyDuringOutage(t *testing.T) {
	p, store := startPlatform(t)
	ctx := t.Context()
	p.SetDown(true)
	_, err := newApplier(store).Apply(ctx, change("1", fileChange("a", "x")))
	assert.Equal(t, lhcode.Of(err), lhcode.StoreUnavailable)
	p.SetDown(false)
	p.SetDelay(time.Hour)
	shortCtx, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	_, err = newApplier(store).Apply(shortCtx, change("1", fileChange("a", "x")))
	assert.Equal(t, lhcode.Of(err), lhcode.StoreUnavailable)
	p.SetDelay(0)
	s, err := lhstore.Open(ctx, store)
	assert.NilError(t, err)
	assert.Equal(t, s.Position(), lhstore.Position{})
}
