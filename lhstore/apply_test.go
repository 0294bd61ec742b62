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

// checkLines takes each line of a file as the name of a server, and refuses "bad".
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

// startConfigured starts a platform that holds a first revision with file z.
func startConfigured(t *testing.T) (*lhstand.Platform, *lhstore.Client) {
	t.Helper()
	p, store := startPlatform(t)
	_, err := newApplier(store).Apply(t.Context(), change("0", text("z", "z")))
	assert.NilError(t, err)
	return p, store
}

func newApplier(store lhstore.Store) *lhstore.Applier {
	return lhstore.NewApplier(store, checkLines, assignNumbers, nil)
}

func text(name, text string) lhstore.FileChange {
	return lhstore.FileChange{FileText: lhstore.FileText{Name: name, Text: text}}
}

func change(id string, files ...lhstore.FileChange) lhstore.Change {
	return lhstore.Change{ID: id, Files: files}
}

// hooked runs a hook before each swap, to let another operator be faster.
type hooked struct {
	lhstore.Store
	hook func(key string)
}

func (f hooked) Swap(ctx context.Context, key, etag string, data []byte) (string, error) {
	f.hook(key)
	return f.Store.Swap(ctx, key, etag, data)
}

// applyNaive accepts a change as the last writer, with neither swap nor ID.
func applyNaive(ctx context.Context, store lhstore.Store, c lhstore.Change, hook func()) error {
	merged := map[string]string{}
	for _, f := range c.Files {
		merged[f.Name] = f.Text
	}
	hook()
	_, err := store.Put(ctx, "naive", []byte(fmt.Sprint(merged)))
	return err
}

func TestOperatorsRace(t *testing.T) {
	cases := []struct {
		name          string
		first, second lhstore.Change
		want          lhcode.Code
		files         map[string]string
	}{
		{
			"two files", change("1", text("a", "x")), change("2", text("b", "y")),
			lhcode.OK,
			map[string]string{"a": "x", "b": "y", "z": "z"},
		},
		{
			"one file", change("1", text("a", "x")), change("2", text("a", "y")),
			lhcode.Conflict,
			map[string]string{"a": "x", "z": "z"},
		},
		{
			"one file, same text", change("1", text("a", "x")), change("2", text("a", "x")),
			lhcode.OK,
			map[string]string{"a": "x", "z": "z"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, store := startConfigured(t)
			ctx := t.Context()
			raced := false
			racing := hooked{store, func(string) {
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

			// The naive version loses the first change in each case.
			err = applyNaive(ctx, store, c.second, func() {
				assert.NilError(t, applyNaive(ctx, store, c.first, func() {}))
			})
			assert.NilError(t, err)
			value, err := store.Get(ctx, "naive")
			assert.NilError(t, err)
			lost := fmt.Sprint(map[string]string{c.second.Files[0].Name: c.second.Files[0].Text})
			assert.Equal(t, string(value.Data), lost)
		})
	}
}

// quick lets another operator be faster between the read of the head and the
// question to the VMs, which then hold the other's revision already.
type quick struct {
	t     *testing.T
	store lhstore.Store
	at    *lhstore.Position
}

func (q quick) Highest(ctx context.Context) (lhstore.Position, error) {
	if *q.at == (lhstore.Position{}) {
		result, err := newApplier(q.store).Apply(ctx, change("1", text("a", "x")))
		assert.NilError(q.t, err)
		*q.at = result.Position
	}
	return *q.at, nil
}

func TestQuickVMsAreNoOlderStore(t *testing.T) {
	_, store := startConfigured(t)
	fleet := quick{t, store, &lhstore.Position{}}
	guarded := lhstore.NewApplier(store, checkLines, assignNumbers, fleet)
	result, err := guarded.Apply(t.Context(), change("2", text("b", "y")))
	assert.NilError(t, err)
	assert.Equal(t, result.Position.Revision, uint64(3))
}

func TestApplyRefusesBadFolder(t *testing.T) {
	_, store := startPlatform(t)
	_, err := newApplier(store).Apply(t.Context(), change("1", text("a", "x"), text("b", "bad")))
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
	given := []uint32{}
	for i, step := range steps {
		c := change(fmt.Sprint(i), text("a", step.text))
		if step.base != "" {
			c.Files[0].Base = lhstore.Hash(step.base)
		}
		_, err := a.Apply(ctx, c)
		assert.NilError(t, err)
		given = append(given, number(step.server))
	}
	assert.DeepEqual(t, given, []uint32{1, 2, 3, 3})
}

// TestLostReply loses the reply of each write of an apply in turn. A naive
// operator who repeats a write on error can't tell its own from another's.
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
		result, err := newApplier(store).Apply(t.Context(), change("1", text("a", "x")))
		assert.Equal(t, lhcode.Of(err), c.want)
		s, err := lhstore.Open(t.Context(), store)
		assert.NilError(t, err)
		if c.want == lhcode.OK {
			assert.Equal(t, s.Position(), result.Position)
		}
		assert.Equal(t, s.Position().Revision == 2, c.want == lhcode.OK)
	}
}

// TestOutcomeUnknown cuts the store off with the swap of the head, done or not,
// and asks again afterwards with the printed ticket.
func TestOutcomeUnknown(t *testing.T) {
	for _, done := range []bool{true, false} {
		p, store := startConfigured(t)
		ctx := t.Context()
		cut := cutting{Client: store, platform: p, done: done}
		result, err := newApplier(cut).Apply(ctx, change("1", text("a", "x")))
		assert.Equal(t, lhcode.Of(err), lhcode.OutcomeUnknown)
		ticket, err := lhstore.ParseTicket(result.Ticket.String())
		assert.NilError(t, err)
		_, err = newApplier(store).Lookup(ctx, ticket)
		assert.Equal(t, lhcode.Of(err), lhcode.OutcomeUnknown)

		// Another operator builds on it before the first one asks.
		p.SetDown(false)
		_, err = newApplier(store).Apply(ctx, change("2", text("b", "y")))
		assert.NilError(t, err)
		retry := change("1", text("a", "x"))
		retry.Earlier = &ticket
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

// cutting takes the platform down with the swap of the head.
type cutting struct {
	*lhstore.Client
	platform *lhstand.Platform
	done     bool
}

func (c cutting) Swap(ctx context.Context, key, etag string, data []byte) (string, error) {
	if c.done {
		_, _ = c.Client.Swap(ctx, key, etag, data)
	}
	c.platform.SetDown(true)
	return "", lhcode.New(lhcode.OutcomeUnknown, "no reply")
}

// TestDelayedSwap lets a swap of the head whose caller was told "not done" reach
// the store late: it must lose.
func TestDelayedSwap(t *testing.T) {
	_, store := startConfigured(t)
	ctx := t.Context()
	late := &delaying{Client: store}
	_, err := newApplier(late).Apply(ctx, change("1", text("a", "x")))
	assert.NilError(t, err)
	assert.Equal(t, lhcode.Of(late.deliver(ctx)), lhcode.PreconditionFailed)
	s, err := lhstore.Open(ctx, store)
	assert.NilError(t, err)
	assert.Equal(t, s.Position().Revision, uint64(2))
}

// delaying holds the first swap back and reports its reply as lost.
type delaying struct {
	*lhstore.Client
	deliver func(context.Context) error
}

func (d *delaying) Swap(ctx context.Context, key, etag string, data []byte) (string, error) {
	if d.deliver != nil {
		return d.Client.Swap(ctx, key, etag, data)
	}
	d.deliver = func(ctx context.Context) error {
		_, err := d.Client.Swap(ctx, key, etag, data)
		return err
	}
	return "", lhcode.New(lhcode.OutcomeUnknown, "no reply")
}

func TestApplyDuringOutage(t *testing.T) {
	p, store := startPlatform(t)
	ctx := t.Context()
	p.SetDown(true)
	_, err := newApplier(store).Apply(ctx, change("1", text("a", "x")))
	assert.Equal(t, lhcode.Of(err), lhcode.StoreUnavailable)
	p.SetDown(false)
	p.SetDelay(time.Hour)
	short, cancel := context.WithTimeout(ctx, 10*time.Millisecond)
	defer cancel()
	_, err = newApplier(store).Apply(short, change("1", text("a", "x")))
	assert.Equal(t, lhcode.Of(err), lhcode.StoreUnavailable)
	p.SetDelay(0)
	s, err := lhstore.Open(ctx, store)
	assert.NilError(t, err)
	assert.Equal(t, s.Position(), lhstore.Position{})
}
