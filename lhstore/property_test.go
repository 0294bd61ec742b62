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

// TestMain sets a fixed seed for the property tests unless the caller gives one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" && seed.Set("1") != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}

// directTransport calls a platform's handler without a connection.
type directTransport struct{ platform *lhstand.Platform }

func (d directTransport) RoundTrip(r *http.Request) (response *http.Response, err error) {
	defer func() {
		if recover() != nil {
			err = errors.New("dropped")
		}
	}()
	recorder := httptest.NewRecorder()
	d.platform.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// omission is a protection that a simulation leaves out.
type omission string

const (
	omitNothing        omission = ""
	omitCompareAndSwap omission = "writes the head without a condition"
	omitLookup         omission = "treats a lost response as a failure"
	omitETags          omission = "deletes regardless of ETags"
	omitRevisionCheck  omission = "follows the head to any revision"
)

// simulation simulates a platform with operators and VMs. choose makes each choice,
// from 0 to n-1.
type simulation struct {
	*lhstore.Client
	choose  func(n int) int
	omitted omission
	ctx     context.Context
	// nesting is the number of calls suspended while other actions run.
	nesting      int
	faultFree    bool
	delayedCalls []func()
	ids          int
	// outcome holds the result of each change by ID.
	outcome map[string]lhcode.Code
	tickets map[string]lhstore.Ticket
	archive map[uint64]lhstore.Manifest
	// vms[0] loads each revision as soon as the head refers to it.
	vms      []lhstore.Snapshot
	platform *lhstand.Platform
	backup   lhstand.Backup
	// reusedETags is set if a restored platform gives ETags out again.
	reusedETags bool
	failure     error
}

func newSimulation(ctx context.Context, choose func(int) int, omitted omission) *simulation {
	platform := &lhstand.Platform{}
	return &simulation{
		Client:   lhstore.NewClient("http://platform", directTransport{platform}),
		choose:   choose,
		omitted:  omitted,
		ctx:      ctx,
		outcome:  map[string]lhcode.Code{},
		tickets:  map[string]lhstore.Ticket{},
		archive:  map[uint64]lhstore.Manifest{},
		vms:      make([]lhstore.Snapshot, 3),
		platform: platform,
	}
}

// Highest returns the highest position that a VM holds.
func (s *simulation) Highest(context.Context) (lhstore.Position, error) {
	return s.highest().Position(), nil
}

func (s *simulation) highest() *lhstore.Snapshot {
	best := &s.vms[0]
	for i := range s.vms {
		if s.vms[i].Position().Newer(best.Position()) {
			best = &s.vms[i]
		}
	}
	return best
}

func (s *simulation) applier() *lhstore.Applier {
	return lhstore.NewApplier(s, checkLines, assignNumbers, s)
}

// withoutFaults runs f without injecting faults.
func (s *simulation) withoutFaults(f func()) {
	before := s.faultFree
	s.faultFree = true
	f()
	s.faultFree = before
}

// injectFault may run other actions first, or fail the call.
func (s *simulation) injectFault() error {
	if s.faultFree {
		return nil
	}
	switch choice := s.choose(24); {
	case choice == 0:
		return lhcode.New(lhcode.StoreUnavailable, "down")
	case choice <= 2 && s.nesting < 2:
		s.nesting++
		s.act()
		s.nesting--
	case choice == 3 && len(s.delayedCalls) > 0:
		s.runDelayedCalls()
	}
	return nil
}

func (s *simulation) runDelayedCalls() {
	calls := s.delayedCalls
	s.delayedCalls = nil
	for _, call := range calls {
		call()
	}
}

// write performs a write at once, at once with its response lost, or later.
func (s *simulation) write(call func() error) error {
	if err := s.injectFault(); err != nil {
		return lhcode.Wrap(lhcode.OutcomeUnknown, err, "write")
	}
	if s.faultFree {
		return call()
	}
	switch s.choose(16) {
	case 0:
		_ = call()
	case 1:
		s.delayedCalls = append(s.delayedCalls, func() { _ = call() })
	default:
		return call()
	}
	return lhcode.New(lhcode.OutcomeUnknown, "no response")
}

func (s *simulation) Get(ctx context.Context, key string) (lhstore.Value, error) {
	if err := s.injectFault(); err != nil {
		return lhstore.Value{}, err
	}
	return s.Client.Get(ctx, key)
}

func (s *simulation) Put(ctx context.Context, key string, data []byte) (etag string, err error) {
	err = s.write(func() error {
		etag, err = s.Client.Put(ctx, key, data)
		return err
	})
	return etag, err
}

func (s *simulation) CompareAndSwap(ctx context.Context, key, etag string, data []byte) (tag string, err error) {
	err = s.write(func() error {
		if s.omitted == omitCompareAndSwap {
			tag, err = s.Client.Put(ctx, key, data)
		} else {
			tag, err = s.Client.CompareAndSwap(ctx, key, etag, data)
		}
		s.record()
		return err
	})
	if s.omitted == omitLookup && lhcode.Of(err) == lhcode.OutcomeUnknown {
		err = lhcode.New(lhcode.StoreUnavailable, "no response")
	}
	return tag, err
}

func (s *simulation) Delete(ctx context.Context, key, etag string) error {
	return s.write(func() error {
		if value, err := s.Client.Get(ctx, key); err == nil && s.omitted == omitETags {
			etag = value.ETag
		}
		return s.Client.Delete(ctx, key, etag)
	})
}

// record archives the manifest of the head, which later revisions must follow.
func (s *simulation) record() {
	manifests, err := lhstore.Chain(s.ctx, s.Client, 1)
	if err != nil || len(manifests) == 0 {
		return
	}
	m := manifests[0]
	if old, found := s.archive[m.Revision]; found && old.Position() != m.Position() {
		s.fail("revision %d was accepted twice", m.Revision)
	}
	s.archive[m.Revision] = m
	s.withoutFaults(func() { s.follow(&s.vms[0]) })
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == nil {
		s.failure = errors.Errorf(format, args...)
	}
}

// act runs one random action of an operator, a VM or compaction.
func (s *simulation) act() {
	switch s.choose(8) {
	case 0, 1, 2:
		s.apply()
	case 3:
		s.follow(&s.vms[s.choose(len(s.vms))])
	case 4:
		_, _ = lhstore.NewCompactor(s, fmt.Sprint("vm", s.choose(2)), 2, time.Now).Compact(s.ctx)
	case 5:
		s.lookupUnknown()
	case 6:
		s.rollBack()
	case 7:
		_, _ = lhstore.Restore(s.ctx, s, "restore", s.highest())
	}
}

// rollBack restores the platform from a backup, or takes one.
func (s *simulation) rollBack() {
	if s.choose(3) > 0 {
		s.backup = s.platform.Backup()
		return
	}
	if s.reusedETags {
		s.platform.RestoreETags(s.backup)
	} else {
		s.platform.Restore(s.backup)
	}
	for i := range s.vms {
		s.withoutFaults(func() { s.follow(&s.vms[i]) })
	}
}

func (s *simulation) apply() {
	read, err := lhstore.Open(s.ctx, s)
	if err != nil {
		return
	}
	s.ids++
	id, name := fmt.Sprint("change", s.ids), fmt.Sprint("file", s.choose(3))
	// There are only a few texts, so that pages that were garbage are used again.
	f := fileChange(name, fmt.Sprint("text", s.choose(3)))
	if old, found := read.File(name); found {
		f.Base = lhstore.Hash(old)
	}
	result, err := s.applier().Apply(s.ctx, change(id, f))
	s.outcome[id] = lhcode.Of(err)
	s.tickets[id] = result.Ticket
	if result.Unchanged {
		s.outcome[id] = lhcode.NotFound
	}
}

// lookupUnknown looks up a change whose outcome is unknown.
func (s *simulation) lookupUnknown() {
	for i := 1; i <= s.ids; i++ {
		id := fmt.Sprint("change", i)
		if s.outcome[id] == lhcode.OutcomeUnknown {
			_, err := s.applier().Lookup(s.ctx, s.tickets[id])
			s.outcome[id] = lhcode.Of(err)
			return
		}
	}
}

// follow updates a VM to the head as a Follower decides.
func (s *simulation) follow(current *lhstore.Snapshot) {
	next, err := lhstore.Open(s.ctx, s)
	if err != nil && s.faultFree {
		s.fail("contents of the head are missing: %v", err)
	}
	if err != nil {
		return
	}
	var f lhstore.Follower
	_ = f.Adopt(current.Position(), lhstore.Position{})
	if f.HeadRead(0, next.Position(), "", 0) == lhstore.HeadLoad || s.omitted == omitRevisionCheck {
		if current.Position().Newer(next.Position()) {
			s.fail("a VM reverted from %v to %v", current.Position(), next.Position())
		}
		*current = next
	}
}

// verify ends all faults and returns the first violated property.
func (s *simulation) verify() error {
	s.runDelayedCalls()
	s.faultFree = true
	if _, err := lhstore.Restore(s.ctx, s, "restore", s.highest()); err != nil {
		return errors.Wrap(err, "restore the store to the revision of the VMs")
	}
	for i := 0; i < s.ids; i++ {
		s.lookupUnknown()
	}
	final, err := lhstore.Open(s.ctx, s)
	if err != nil {
		return errors.Wrap(err, "open the final configuration")
	}
	accepted := s.verifyChain(final.Position())
	for id, code := range s.outcome {
		if done := slices.Contains(accepted, id); done != (code == lhcode.OK) && code != lhcode.OutcomeUnknown {
			s.fail("%s returned code %d, but accepted is %v", id, code, done)
		}
	}
	return s.failure
}

// verifyChain checks the chain and returns the IDs of the accepted changes.
func (s *simulation) verifyChain(at lhstore.Position) (accepted []string) {
	previous := uint64(0)
	for revision := uint64(1); revision <= at.Revision; revision++ {
		m, found := s.archive[revision]
		if !found || m.Previous != previous {
			s.fail("revision %d does not follow its predecessor", revision)
		}
		previous = m.Position().Digest
		accepted = append(accepted, m.ChangeID)
	}
	for _, current := range s.vms {
		p := current.Position()
		if m := s.archive[p.Revision]; p.Revision > 0 && m.Position() != p {
			s.fail("a VM holds %v, which is not on the chain", p)
		}
	}
	return accepted
}

// runSchedule runs a number of actions and verifies the result.
func runSchedule(ctx context.Context, actions int, choose func(int) int, omitted omission) error {
	return newSimulation(ctx, choose, omitted).run(actions)
}

func (s *simulation) run(actions int) error {
	for range actions {
		s.act()
	}
	return s.verify()
}

// TestApplyProperties checks under random faults that accepted revisions form one chain,
// that no accepted change is lost, that no VM reverts to a lower revision, and that a
// change reported as not done does not take effect, then or later.
func TestApplyProperties(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		choose := func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "choice") }
		actions := rapid.IntRange(5, 40).Draw(r, "actions")
		if err := runSchedule(t.Context(), actions, choose, omitNothing); err != nil {
			r.Fatal(err)
		}
	})
}

// TestApplyPropertiesWithoutProtection runs the same random schedules with all protections
// and with one left out at a time. Every omission must violate a property.
func TestApplyPropertiesWithoutProtection(t *testing.T) {
	const actions = 20
	cases := []struct {
		omitted   omission
		schedules int
		broken    bool
	}{{omitNothing, 400, false}, {omitCompareAndSwap, 30, true}, {omitLookup, 30, true}, {omitETags, 400, true}, {omitRevisionCheck, 30, true}}
	for _, c := range cases {
		broken := 0
		for seed := range c.schedules {
			err := runSchedule(t.Context(), actions, rand.New(rand.NewPCG(uint64(seed), 0)).IntN, c.omitted)
			if err != nil {
				broken++
			}
			if !c.broken {
				assert.NilError(t, err, "seed %d", seed)
			}
		}
		t.Logf("omitted=%q: %d of %d schedules broken", c.omitted, broken, c.schedules)
		assert.Equal(t, broken > 0, c.broken, string(c.omitted))
	}
}

// TestApplyPropertiesReusedETags guards against a write that was delayed across a restore of
// the platform from a copy and takes effect because its ETag was given out again.
func TestApplyPropertiesReusedETags(t *testing.T) {
	const schedules, actions = 200, 20
	broken := 0
	for seed := range uint64(schedules) {
		s := newSimulation(t.Context(), rand.New(rand.NewPCG(seed, 0)).IntN, omitNothing)
		s.reusedETags = true
		if err := s.run(actions); err != nil {
			broken++
			t.Logf("seed %d: %v", seed, err)
		}
	}
	assert.Equal(t, broken, 0, "of %d schedules", schedules)
}
