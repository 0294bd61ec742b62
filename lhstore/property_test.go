package lhstore_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// TestMain fixes the seed of the property tests unless the caller gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" && seed.Set("1") != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}

// direct calls a platform without a connection.
type direct struct{ platform *lhstand.Platform }

func (d direct) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = errors.New("dropped")
		}
	}()
	recorder := httptest.NewRecorder()
	d.platform.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// naive names a protection that a world does without.
type naive string

const (
	careful  naive = ""
	noSwap   naive = "writes the head without a condition"
	noLookup naive = "takes a lost reply for a failure"
	noTags   naive = "deletes by name alone"
	goesBack naive = "takes whatever the head says"
)

// world is a platform with operators and VMs, driven by choices from 0 to n-1.
type world struct {
	*lhstore.Client
	choose  func(n int) int
	without naive
	ctx     context.Context
	// depth is how many calls wait for others to be carried out first.
	depth int
	calm  bool
	late  []func()
	ids   int
	// outcome of each change by ID.
	outcome map[string]lhcode.Code
	tickets map[string]lhstore.Ticket
	archive map[uint64]lhstore.Manifest
	// vms[0] takes each revision as soon as the head names it.
	vms      []lhstore.Snapshot
	platform *lhstand.Platform
	backup   lhstand.Backup
	problem  error
}

func newWorld(ctx context.Context, choose func(int) int, without naive) *world {
	platform := &lhstand.Platform{}
	return &world{
		Client:   lhstore.NewClient("http://platform", direct{platform}),
		choose:   choose,
		without:  without,
		ctx:      ctx,
		outcome:  map[string]lhcode.Code{},
		tickets:  map[string]lhstore.Ticket{},
		archive:  map[uint64]lhstore.Manifest{},
		vms:      make([]lhstore.Snapshot, 3),
		platform: platform,
	}
}

// Highest tells operators what the VMs hold.
func (w *world) Highest(context.Context) (lhstore.Position, error) {
	return w.highest().Position(), nil
}

func (w *world) highest() *lhstore.Snapshot {
	best := &w.vms[0]
	for i := range w.vms {
		if w.vms[i].Position().Newer(best.Position()) {
			best = &w.vms[i]
		}
	}
	return best
}

func (w *world) applier() *lhstore.Applier {
	return lhstore.NewApplier(w, checkLines, assignNumbers, w)
}

// calmly lets f act without faults.
func (w *world) calmly(f func()) {
	before := w.calm
	w.calm = true
	f()
	w.calm = before
}

// disturb lets others act first, or fails the call.
func (w *world) disturb() error {
	if w.calm {
		return nil
	}
	switch choice := w.choose(24); {
	case choice == 0:
		return lhcode.New(lhcode.StoreUnavailable, "down")
	case choice <= 2 && w.depth < 2:
		w.depth++
		w.act()
		w.depth--
	case choice == 3 && len(w.late) > 0:
		w.deliver()
	}
	return nil
}

func (w *world) deliver() {
	late := w.late
	w.late = nil
	for _, call := range late {
		call()
	}
}

// write carries out a write now, with its reply lost, late or never.
func (w *world) write(call func() error) error {
	if err := w.disturb(); err != nil {
		return lhcode.Wrap(lhcode.OutcomeUnknown, err, "write")
	}
	if w.calm {
		return call()
	}
	switch w.choose(16) {
	case 0:
		_ = call()
	case 1:
		w.late = append(w.late, func() { _ = call() })
	default:
		return call()
	}
	return lhcode.New(lhcode.OutcomeUnknown, "no reply")
}

func (w *world) Get(ctx context.Context, key string) (lhstore.Value, error) {
	if err := w.disturb(); err != nil {
		return lhstore.Value{}, err
	}
	return w.Client.Get(ctx, key)
}

func (w *world) Put(ctx context.Context, key string, data []byte) (etag string, err error) {
	err = w.write(func() error {
		etag, err = w.Client.Put(ctx, key, data)
		return err
	})
	return etag, err
}

func (w *world) Swap(ctx context.Context, key, etag string, data []byte) (tag string, err error) {
	err = w.write(func() error {
		if w.without == noSwap {
			tag, err = w.Client.Put(ctx, key, data)
		} else {
			tag, err = w.Client.Swap(ctx, key, etag, data)
		}
		w.record()
		return err
	})
	if w.without == noLookup && lhcode.Of(err) == lhcode.OutcomeUnknown {
		err = lhcode.New(lhcode.StoreUnavailable, "no reply")
	}
	return tag, err
}

func (w *world) Delete(ctx context.Context, key, etag string) error {
	return w.write(func() error {
		if value, err := w.Client.Get(ctx, key); err == nil && w.without == noTags {
			etag = value.ETag
		}
		return w.Client.Delete(ctx, key, etag)
	})
}

// record keeps the manifest of the head, which later swaps must build on.
func (w *world) record() {
	manifests, err := lhstore.Chain(w.ctx, w.Client, 1)
	if err != nil || len(manifests) == 0 {
		return
	}
	m := manifests[0]
	if old, found := w.archive[m.Revision]; found && old.Position() != m.Position() {
		w.fail("revision %d was accepted twice", m.Revision)
	}
	w.archive[m.Revision] = m
	w.calmly(func() { w.follow(&w.vms[0]) })
}

func (w *world) fail(format string, args ...any) {
	if w.problem == nil {
		w.problem = errors.Errorf(format, args...)
	}
}

// act lets an operator, a VM or compaction do one thing.
func (w *world) act() {
	switch w.choose(8) {
	case 0, 1, 2:
		w.apply()
	case 3:
		w.follow(&w.vms[w.choose(len(w.vms))])
	case 4:
		_, _ = lhstore.NewCompactor(w, fmt.Sprint("vm", w.choose(2)), 2, time.Now).Compact(w.ctx)
	case 5:
		w.ask()
	case 6:
		w.goOlder()
	case 7:
		_, _ = lhstore.Restore(w.ctx, w, "restore", w.highest())
	}
}

// goOlder returns the store to an older state, or takes one to return to.
func (w *world) goOlder() {
	if w.choose(3) > 0 {
		w.backup = w.platform.Backup()
		return
	}
	w.platform.Restore(w.backup)
	for i := range w.vms {
		w.calmly(func() { w.follow(&w.vms[i]) })
	}
}

func (w *world) apply() {
	read, err := lhstore.Open(w.ctx, w)
	if err != nil {
		return
	}
	w.ids++
	id, name := fmt.Sprint("change", w.ids), fmt.Sprint("file", w.choose(3))
	// Few texts, so that pages that were garbage come back.
	f := text(name, fmt.Sprint("text", w.choose(3)))
	if old, found := read.File(name); found {
		f.Base = lhstore.Hash(old)
	}
	result, err := w.applier().Apply(w.ctx, change(id, f))
	w.outcome[id] = lhcode.Of(err)
	w.tickets[id] = result.Ticket
	if result.Unchanged {
		w.outcome[id] = lhcode.NotFound
	}
}

// ask looks up a change whose outcome is unknown.
func (w *world) ask() {
	for i := 1; i <= w.ids; i++ {
		id := fmt.Sprint("change", i)
		if w.outcome[id] == lhcode.OutcomeUnknown {
			_, err := w.applier().Lookup(w.ctx, w.tickets[id])
			w.outcome[id] = lhcode.Of(err)
			return
		}
	}
}

// follow brings a VM to the head by the decisions of a Follower.
func (w *world) follow(held *lhstore.Snapshot) {
	next, err := lhstore.Open(w.ctx, w)
	if err != nil && w.calm {
		w.fail("the head's contents are gone: %v", err)
	}
	if err != nil {
		return
	}
	var f lhstore.Follower
	_ = f.Adopt(held.Position(), lhstore.Position{})
	if f.HeadRead(0, next.Position(), "", 0) == lhstore.HeadLoad || w.without == goesBack {
		if held.Position().Newer(next.Position()) {
			w.fail("a VM went back from %v to %v", held.Position(), next.Position())
		}
		*held = next
	}
}

// judge returns what is wrong once all faults are over.
func (w *world) judge() error {
	w.deliver()
	w.calm = true
	if _, err := lhstore.Restore(w.ctx, w, "restore", w.highest()); err != nil {
		return errors.Wrap(err, "the store can't be brought up to the VMs")
	}
	for i := 0; i < w.ids; i++ {
		w.ask()
	}
	final, err := lhstore.Open(w.ctx, w)
	if err != nil {
		return errors.Wrap(err, "the configuration is lost")
	}
	accepted := w.judgeChain(final.Position())
	for id, code := range w.outcome {
		if done := slices.Contains(accepted, id); done != (code == lhcode.OK) && code != lhcode.OutcomeUnknown {
			w.fail("%s was told %d, but its being in force is %v", id, code, done)
		}
	}
	return w.problem
}

// judgeChain returns the accepted changes after a look at their chain.
func (w *world) judgeChain(at lhstore.Position) (accepted []string) {
	previous := uint64(0)
	for revision := uint64(1); revision <= at.Revision; revision++ {
		m, found := w.archive[revision]
		if !found || m.Previous != previous {
			w.fail("revision %d does not follow the one before", revision)
		}
		previous = m.Position().Digest
		accepted = append(accepted, m.Apply)
	}
	for _, held := range w.vms {
		p := held.Position()
		if m := w.archive[p.Revision]; p.Revision > 0 && m.Position() != p {
			w.fail("a VM holds %v, which is not of the chain", p)
		}
	}
	return accepted
}

// run acts a number of times and judges the outcome.
func run(ctx context.Context, acts int, choose func(int) int, without naive) error {
	w := newWorld(ctx, choose, without)
	for range acts {
		w.act()
	}
	return w.judge()
}

// TestProperty holds whatever the faults: accepted revisions form one chain,
// nothing accepted is lost, no VM goes back, and a change told "not done" is not
// in force, nor will be.
func TestProperty(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "choice") }
		acts := rapid.IntRange(5, 40).Draw(r, "acts")
		if err := run(t.Context(), acts, choose, careful); err != nil {
			r.Fatal(err)
		}
	})
}

// TestPropertyNaive runs the same schedules without one protection at a time.
func TestPropertyNaive(t *testing.T) {
	const acts = 20
	cases := []struct {
		without   naive
		schedules int
		broken    bool
	}{{careful, 200, false}, {noSwap, 30, true}, {noLookup, 30, true}, {noTags, 200, true}, {goesBack, 30, true}}
	for _, c := range cases {
		broken := 0
		for seed := range c.schedules {
			err := run(t.Context(), acts, rand.New(rand.NewPCG(uint64(seed), 0)).IntN, c.without)
			if err != nil {
				broken++
			}
			if !c.broken {
				assert.NilError(t, err, "seed %d", seed)
			}
		}
		t.Logf("without=%q: %d of %d schedules broken", c.without, broken, c.schedules)
		assert.Equal(t, broken > 0, c.broken, string(c.without))
	}
}
