package lhstore

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// ledger is a Feed in memory.
type ledger struct {
	revision uint64
	items    map[string]Item
	history  []Item
	// dropped is the revision up to which the history is gone.
	dropped uint64
	// muted watches bring nothing, failing calls fail.
	muted, failing bool
	calls          int
}

func newLedger() *ledger { return &ledger{revision: 1, items: make(map[string]Item)} }

func (l *ledger) write(key, value string) {
	l.revision++
	it := Item{Key: key, Data: []byte(value), Revision: l.revision, Deleted: value == ""}
	l.items[key] = it
	if it.Deleted {
		delete(l.items, key)
	}
	l.history = append(l.history, it)
}

func (l *ledger) forget() { l.history, l.dropped = nil, l.revision }

func (l *ledger) List(context.Context, string) (Page, error) {
	l.calls++
	if l.failing {
		return Page{}, lhcode.New(lhcode.StoreUnavailable, "down")
	}
	page := Page{Revision: l.revision}
	for _, key := range slices.Sorted(maps.Keys(l.items)) {
		page.Items = append(page.Items, l.items[key])
	}
	return page, nil
}

func (l *ledger) Changes(_ context.Context, after uint64, _ time.Duration) (Page, error) {
	l.calls++
	switch {
	case l.failing:
		return Page{}, lhcode.New(lhcode.StoreUnavailable, "down")
	case l.muted:
		return Page{Revision: l.revision}, nil
	case after < l.dropped:
		return Page{}, lhcode.New(lhcode.HistoryLost, "dropped")
	}
	page := Page{Revision: l.revision}
	for _, it := range l.history {
		if it.Revision > after {
			page.Items = append(page.Items, it)
		}
	}
	return page, nil
}

// view is a VM's view of the ledger: the consumer and the spread of a Mirror.
type view struct {
	*mirroring
	values map[string]string
	told   []News
	heard  chan News
	fresh  uint64
	age    time.Duration
	ok     []bool
	// peers are asked for all they know.
	peers []*view
}

func newView(l *ledger) *view {
	v := &view{values: make(map[string]string), heard: make(chan News, 16)}
	v.mirroring = newMirroring(&Mirror{Feed: l, Spread: v, Consumer: v, Log: zerolog.Nop()})
	return v
}

func (v *view) Changed(items []Item) []Item {
	var changed []Item
	for _, it := range items {
		if string(it.Data) == v.values[it.Key] {
			continue
		}
		v.values[it.Key] = string(it.Data)
		if it.Deleted {
			delete(v.values, it.Key)
		}
		changed = append(changed, it)
	}
	return changed
}

func (v *view) Reached(ok bool, _ error)            { v.ok = append(v.ok, ok) }
func (v *view) Refreshed(r uint64, a time.Duration) { v.fresh, v.age = r, a }
func (v *view) Data(key string) ([]byte, bool)      { d, ok := v.values[key]; return []byte(d), ok }
func (v *view) Patience() time.Duration             { return time.Second }
func (v *view) Tell(n News)                         { v.told = append(v.told, n) }
func (v *view) Heard() <-chan News                  { return v.heard }

// State gives the newest of what the peers know, on the way to another process and back.
func (v *view) State(context.Context) (News, error) {
	var newest News
	for _, p := range v.peers {
		if n := p.Mirror.State(); n.Revision > newest.Revision {
			newest = n
		}
	}
	if newest.Revision == 0 {
		return newest, lhcode.New(lhcode.PeerUnreachable, "nobody knows")
	}
	packed, err := newest.Pack()
	if err != nil {
		return newest, err
	}
	return newest, newest.Unpack(packed)
}

// readAll reads until nothing more is due at once.
func (v *view) readAll() {
	for range 4 {
		v.read(context.Background())
		if v.listed && v.due.After(time.Now()) {
			return
		}
	}
}

func (l *ledger) values() map[string]string {
	values := make(map[string]string)
	for key, it := range l.items {
		values[key] = string(it.Data)
	}
	return values
}

func TestMirrorListsAndWatches(t *testing.T) {
	l := newLedger()
	l.write("a", "1")
	v := newView(l)
	v.readAll()
	assert.DeepEqual(t, v.values, l.values())
	assert.Equal(t, len(v.told), 0, "the first listing is told to nobody")
	l.write("b", "2")
	l.write("a", "")
	v.readAll()
	assert.DeepEqual(t, v.values, l.values())
	assert.Equal(t, len(v.told), 1)
	assert.Equal(t, len(v.told[0].Items), 2)
	assert.Equal(t, v.fresh, l.revision)
}

// TestMirrorTellsOnlyWhatMatters checks that repeated entries are not passed on.
func TestMirrorTellsOnlyWhatMatters(t *testing.T) {
	l := newLedger()
	l.write("a", "1")
	v := newView(l)
	v.readAll()
	l.write("a", "1")
	v.readAll()
	assert.Equal(t, len(v.told), 1)
	assert.Equal(t, len(v.told[0].Items), 0)
	assert.Equal(t, v.told[0].Revision, l.revision)
}

// TestMirrorTellsTheLatest checks that of several changes of a key only the last is
// told, and how large news are: three configurations of 270 routes took the memory of
// VMs that pass news on over slow links.
func TestMirrorTellsTheLatest(t *testing.T) {
	l := newLedger()
	v := newView(l)
	l.write("a", "1")
	v.readAll()
	for i := range 3 {
		var document strings.Builder
		for n := range 270 {
			fmt.Fprintf(&document, `{"name":"r-%d","hostname":"198.18.0.%d","prefix":"/8443/","service":"huvo","version":%d}`, n, n%200, i)
		}
		l.write("config", document.String())
	}
	v.readAll()
	assert.Equal(t, len(v.told), 1)
	assert.Equal(t, len(v.told[0].Items), 1)
	assert.Equal(t, v.told[0].Items[0].Revision, l.revision)
	packed, err := v.told[0].Pack()
	assert.NilError(t, err)
	assert.Assert(t, len(packed) < len(v.told[0].Items[0].Data)/4, "%d bytes", len(packed))
	var news News
	assert.NilError(t, news.Unpack(packed))
	assert.DeepEqual(t, news.Items, v.told[0].Items)
}

// TestMirrorHistoryLost checks that nothing is missed while watches are mute and the
// history is then dropped.
func TestMirrorHistoryLost(t *testing.T) {
	for _, muted := range []bool{true, false} {
		t.Run(fmt.Sprint("muted ", muted), func(t *testing.T) {
			l := newLedger()
			l.write("a", "1")
			v := newView(l)
			v.readAll()
			l.muted = muted
			l.write("a", "")
			l.write("b", "2")
			if muted {
				v.read(context.Background())
			}
			l.forget()
			l.muted = false
			v.readAll()
			assert.DeepEqual(t, v.values, l.values())
		})
	}
}

// TestMirrorHears checks that a VM takes news as it takes changes, and reads the store
// itself where it has missed some.
func TestMirrorHears(t *testing.T) {
	l := newLedger()
	l.write("a", "1")
	reader, other := newView(l), newView(l)
	reader.readAll()
	other.readAll()
	calls := l.calls
	l.write("b", "2")
	reader.readAll()
	other.hear(reader.told[0])
	assert.DeepEqual(t, other.values, l.values())
	assert.Equal(t, l.calls, calls+1)
	l.write("c", "3")
	reader.readAll()
	l.write("d", "4")
	reader.readAll()
	other.hear(reader.told[2])
	assert.Assert(t, !other.due.After(time.Now()), "news 1 was missed")
	other.readAll()
	assert.DeepEqual(t, other.values, l.values())
	assert.Equal(t, len(other.told), 0, "what others know is not told again")
	other.hear(reader.told[1])
	assert.Assert(t, maps.Equal(other.values, l.values()), "older news change nothing")
}

// TestMirrorTellsWhatItMissed checks that news after a listing hold what the others
// lack although the reader does not: here that an entry came back whose removal it
// never saw.
func TestMirrorTellsWhatItMissed(t *testing.T) {
	l := newLedger()
	l.write("a", "1")
	reader, quick, slow := newView(l), newView(l), newView(l)
	for _, v := range []*view{reader, quick, slow} {
		v.readAll()
	}
	l.write("a", "")
	quick.readAll()
	slow.hear(quick.told[0])
	assert.Equal(t, len(slow.values), 0)
	l.write("a", "1")
	l.forget()
	reader.readAll()
	slow.hear(reader.told[0])
	assert.DeepEqual(t, slow.values, l.values())
}

// TestMirrorsAgree checks against the ledger itself, over random changes, losses of
// history, readers and lost news, that all VMs know the same in the end.
func TestMirrorsAgree(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := newLedger()
		var views []*view
		for range 3 {
			views = append(views, newView(l))
			views[len(views)-1].readAll()
		}
		pick := rapid.IntRange(0, len(views)-1)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			switch rapid.IntRange(0, 5).Draw(r, "step") {
			case 0, 1:
				l.write(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(r, "key"), rapid.SampledFrom([]string{"", "1", "2"}).Draw(r, "value"))
			case 2:
				l.forget()
			case 3, 4:
				reader := pick.Draw(r, "reader")
				views[reader].readAll()
				spreadNews(r, views, reader)
			case 5:
				l.failing = !l.failing
			}
		}
		l.failing = false
		for i, v := range views {
			v.readAll()
			if !maps.Equal(v.values, l.values()) {
				r.Fatalf("VM %d knows %v, the store holds %v", i, v.values, l.values())
			}
		}
	})
}

// spreadNews hands the last news of a reader to some of the others.
func spreadNews(r *rapid.T, views []*view, reader int) {
	told := views[reader].told
	views[reader].told = nil
	for i, v := range views {
		for _, n := range told {
			if i != reader && rapid.Bool().Draw(r, "delivered") {
				v.hear(n)
			}
		}
	}
}

// TestMirrorOutage checks the pauses between failing calls, and that the store is
// reported lost and reached once each.
func TestMirrorOutage(t *testing.T) {
	l := newLedger()
	v := newView(l)
	v.readAll()
	l.failing = true
	pause := time.Duration(0)
	for range 6 {
		v.read(context.Background())
		next := time.Until(v.due)
		assert.Assert(t, next <= 1500*time.Millisecond)
		assert.Assert(t, next >= pause-10*time.Millisecond)
		pause = next
	}
	l.failing = false
	v.readAll()
	assert.DeepEqual(t, v.ok, []bool{true, false, true})
}

// TestMirrorStartsInAnOutage checks that a VM which knows nothing asks often.
func TestMirrorStartsInAnOutage(t *testing.T) {
	l := newLedger()
	l.write("a", "1")
	l.failing = true
	v := newView(l)
	for range 10 {
		v.read(context.Background())
		assert.Assert(t, time.Until(v.due) <= retryStart)
	}
	l.failing = false
	v.readAll()
	assert.DeepEqual(t, v.values, l.values())
}

// TestMirrorRuns checks the whole loop: news are taken while no reading is due.
func TestMirrorRuns(t *testing.T) {
	l := newLedger()
	l.write("a", "1")
	v := newView(l)
	ctx, cancel := context.WithCancel(context.Background())
	done := v.Run(ctx)
	cancel()
	assert.NilError(t, <-done)
}

// lessor is a Lessor in memory that logs its calls.
type lessor struct {
	calls chan string
	// lost has Keep say that the lease has ended.
	lost bool
}

func (l *lessor) say(call string) { l.calls <- call }

func (l *lessor) Grant(context.Context, time.Duration) (uint64, time.Duration, error) {
	l.say("grant")
	return 7, 3 * time.Millisecond, nil
}

func (l *lessor) Keep(context.Context, uint64) error {
	l.say("keep")
	if l.lost {
		l.lost = false
		return lhcode.New(lhcode.LeaseLost, "ended")
	}
	return nil
}

func (l *lessor) Put(_ context.Context, key string, data []byte, _ uint64) error {
	l.say("put " + key + " " + string(data))
	return nil
}

func (l *lessor) End(context.Context, uint64) error {
	l.say("end")
	return nil
}

// TestRegistrar checks that an entry is written under a lease that is renewed, written
// again when the lease was lost, and removed in the end.
func TestRegistrar(t *testing.T) {
	l := &lessor{calls: make(chan string, 1000), lost: true}
	ctx, cancel := context.WithCancel(context.Background())
	done := Registrar{Store: l, Key: "vm/a", Data: []byte("x"), Log: zerolog.Nop()}.Run(ctx)
	var calls []string
	for len(calls) < 8 {
		calls = append(calls, <-l.calls)
	}
	assert.Equal(t, strings.Join(calls, ","), "grant,put vm/a x,keep,end,grant,put vm/a x,keep,keep")
	cancel()
	assert.NilError(t, <-done)
	close(l.calls)
	last := ""
	for call := range l.calls {
		last = call
	}
	assert.Equal(t, last, "end")
}

// TestStartWhileStoreAway starts a VM while the store does not answer. It begins with
// the newest of what others know, and when the store is back reads only what has
// changed since.
func TestStartWhileStoreAway(t *testing.T) {
	l := newLedger()
	l.write("a", "1")
	stale := newView(l)
	stale.readAll()
	l.write("b", "2")
	l.write("a", "")
	newest := newView(l)
	newest.readAll()
	l.failing = true
	v := newView(l)
	v.peers = []*view{newView(l), stale, newest}
	v.turn(context.Background())
	assert.DeepEqual(t, v.values, map[string]string{"b": "2"})
	assert.Equal(t, v.fresh, l.revision)
	assert.Assert(t, v.age > 0)
	assert.DeepEqual(t, v.ok, []bool{false})

	l.write("c", "3")
	l.write("b", "")
	l.failing = false
	v.readAll()
	assert.DeepEqual(t, v.values, l.values())
	assert.Equal(t, v.fresh, l.revision)
}

// TestStartAloneWhileStoreAway starts a VM whose contacts know nothing either.
func TestStartAloneWhileStoreAway(t *testing.T) {
	l := newLedger()
	l.write("a", "1")
	l.failing = true
	v := newView(l)
	v.peers = []*view{newView(l)}
	v.turn(context.Background())
	assert.Equal(t, v.fresh, uint64(0))
	assert.Assert(t, time.Until(v.due) <= retryStart)
	l.failing = false
	v.turn(context.Background())
	assert.DeepEqual(t, v.values, l.values())
}

// TestStateAfterChanges checks that a VM which begins with another's state and hears
// the news after it knows what all others know, whatever changes come.
func TestStateAfterChanges(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := newLedger()
		peer, late := newView(l), newView(l)
		late.peers = []*view{peer}
		for i := range rapid.IntRange(1, 30).Draw(r, "changes") {
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(r, "key")
			if _, there := l.items[key]; there && rapid.Bool().Draw(r, "remove") {
				l.write(key, "")
			} else {
				l.write(key, fmt.Sprint(i))
			}
			if rapid.Bool().Draw(r, "read") {
				peer.readAll()
			}
		}
		peer.readAll()
		l.failing = true
		late.turn(context.Background())
		l.failing = false
		assert.DeepEqual(r, late.values, peer.values)
		l.write("e", "new")
		l.write("a", "newer")
		told := len(peer.told)
		peer.readAll()
		for _, n := range peer.told[told:] {
			late.hear(n)
		}
		assert.DeepEqual(r, late.values, l.values())
		assert.Equal(r, late.fresh, l.revision)
	})
}

// stuckFeed is a store that never answers.
type stuckFeed struct{ *ledger }

func (stuckFeed) List(ctx context.Context, _ string) (Page, error) {
	<-ctx.Done()
	return Page{}, ctx.Err()
}

// TestStartDoesNotWaitForTheStore checks that a store which does not answer is given
// up after a short time, and later after longer ones.
func TestStartDoesNotWaitForTheStore(t *testing.T) {
	v := newView(newLedger())
	v.Mirror.Feed = stuckFeed{}
	for want := startTimeout; want <= 2*startTimeout; want *= 2 {
		assert.Equal(t, v.patience, want)
		v.read(context.Background())
	}
	assert.DeepEqual(t, v.ok, []bool{false})
}

// boundFeed is a store whose listings end with their context.
type boundFeed struct{ *ledger }

func (b boundFeed) List(ctx context.Context, after string) (Page, error) {
	if err := ctx.Err(); err != nil {
		return Page{}, err
	}
	return b.ledger.List(ctx, after)
}

// TestStartAfterLongOutage checks that a VM which has asked a store in vain a hundred
// times still takes its answer.
func TestStartAfterLongOutage(t *testing.T) {
	l := newLedger()
	l.write("a", "1")
	l.failing = true
	v := newView(l)
	v.Mirror.Feed = boundFeed{l}
	for range 100 {
		v.read(context.Background())
	}
	l.failing = false
	v.read(context.Background())
	assert.DeepEqual(t, v.values, l.values())
}
