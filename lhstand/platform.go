package lhstand

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// Platform stands in for the platform's key-value service and its list of VMs.
// It is an http.Handler; Start serves it on loopback. The zero Platform is ready
// for use and without faults.
type Platform struct {
	// Clock is the platform's time; nil is time.Now. Set it before first use.
	Clock func() time.Time

	mu sync.Mutex
	// keys is nil until the first write.
	keys map[string]lhstore.Value
	// writes numbers ETags; it never goes back, not even when an older state does.
	writes uint64
	// changed is closed and replaced whenever a waiting watch has to look again.
	changed chan struct{}
	// epoch grows when watches are to end.
	epoch  uint64
	leases map[string]grant
	// fences outlives the leases, so that a fencing number is never given twice.
	fences map[string]uint64
	lists  []vmList
	faults faults
	counts Counts
	// second and spent measure the calls of the present second against the limit.
	second int64
	spent  int

	server *http.Server
	ended  chan error
	base   string
}

// Counts are the calls that the platform has received, by kind. A refused or
// dropped call counts as well.
type Counts struct {
	Reads, Writes, Watches, Lists, Leases, VMs int
	// Limited are the calls refused because of the rate limit; they are also
	// counted by their kind.
	Limited int
}

// Total is the number of all calls.
func (c Counts) Total() int {
	return c.Reads + c.Writes + c.Watches + c.Lists + c.Leases + c.VMs
}

// Backup is a state of the keys to return to.
type Backup struct{ keys map[string]lhstore.Value }

type faults struct {
	down  bool
	delay time.Duration
	// lose counts the writes whose reply is still to be lost, after skip others.
	lose, skip int
	rate       int
	lag        time.Duration
}

type grant struct {
	holder string
	fence  uint64
	until  time.Time
}

type vmList struct {
	since time.Time
	vms   []lhstore.VM
}

// Start serves the platform on an ephemeral port of loopback until Close.
func (p *Platform) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.base = "http://" + listener.Addr().String()
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	p.ended = make(chan error, 1)
	go func() { p.ended <- p.server.Serve(listener) }()
	return nil
}

// URL returns where a started platform is served.
func (p *Platform) URL() string { return p.base }

// Close ends a started platform and all calls that wait at it.
func (p *Platform) Close() error {
	err := p.server.Close()
	<-p.ended
	return err
}

// SetDown makes the platform drop every call, waiting watches included.
func (p *Platform) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.down = down
	if down {
		p.endWatches()
	}
}

// SetDelay makes the platform wait before it carries out a call.
func (p *Platform) SetDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.delay = delay
}

// LoseReplies lets skip writes pass, then carries out count writes without
// answering them.
func (p *Platform) LoseReplies(skip, count int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.skip, p.faults.lose = skip, count
}

// SetRate limits the calls that are carried out in a second; 0 is no limit.
func (p *Platform) SetRate(calls int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.rate = calls
}

// SetLag makes the list of VMs show the state of so long ago.
func (p *Platform) SetLag(lag time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.lag = lag
}

// EndWatches drops the connections of the watches that wait now.
func (p *Platform) EndWatches() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endWatches()
}

// Backup returns the present state of the keys.
func (p *Platform) Backup() Backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Backup{keys: maps.Clone(p.keys)}
}

// Restore returns the keys to an earlier state, under new ETags.
func (p *Platform) Restore(b Backup) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keys = maps.Clone(b.keys)
	for key, value := range p.keys {
		p.keys[key] = lhstore.Value{Data: value.Data, ETag: p.nextTag()}
	}
	p.wake()
}

// SetVMs sets the list of VMs as it is now.
func (p *Platform) SetVMs(vms []lhstore.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lists = append(p.lists, vmList{since: p.now(), vms: vms})
}

// Counts returns the calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// ServeHTTP answers one call.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lhstore.MaxValue))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	if !p.admit(r) {
		http.Error(w, "too many calls", http.StatusTooManyRequests)
		return
	}
	kind, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	switch {
	case kind == "vms":
		p.serveVMs(w)
	case kind == "leases":
		p.serveLease(w, r, rest)
	case kind == "keys" && rest == "":
		p.serveList(w, r.URL.Query())
	case kind == "keys" && r.Method == http.MethodGet:
		p.serveRead(w, r, rest)
	case kind == "keys":
		p.serveWrite(w, r, rest, body)
	default:
		http.NotFound(w, r)
	}
}

// admit counts a call, applies the faults that come before it is carried out and
// reports whether the rate limit permits it. A call is dropped by the panic that
// net/http knows for it. A slow write goes on when its caller has given up.
func (p *Platform) admit(r *http.Request) bool {
	p.mu.Lock()
	p.count(r)
	delay := p.faults.delay
	limited := p.overRate()
	p.mu.Unlock()
	if limited {
		return false
	}
	ctx := r.Context()
	if r.Method != http.MethodGet {
		ctx = context.WithoutCancel(ctx)
	}
	wait(ctx, delay)
	p.mu.Lock()
	down := p.faults.down
	p.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	return true
}

func (p *Platform) count(r *http.Request) {
	switch path := r.URL.Path; {
	case path == "/vms":
		p.counts.VMs++
	case strings.HasPrefix(path, "/leases/"):
		p.counts.Leases++
	case path == "/keys":
		p.counts.Lists++
	case r.Method != http.MethodGet:
		p.counts.Writes++
	case r.URL.Query().Has("wait"):
		p.counts.Watches++
	default:
		p.counts.Reads++
	}
}

func (p *Platform) overRate() bool {
	if second := p.now().Unix(); second != p.second {
		p.second, p.spent = second, 0
	}
	p.spent++
	if p.faults.rate == 0 || p.spent <= p.faults.rate {
		return false
	}
	p.counts.Limited++
	return true
}

func (p *Platform) serveRead(w http.ResponseWriter, r *http.Request, key string) {
	value, found := p.await(r, key)
	if !found {
		http.NotFound(w, r)
		return
	}
	w.Header().Set("ETag", value.ETag)
	if value.ETag == r.Header.Get("If-None-Match") {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(value.Data)
}

// await returns the value of a key once it is not the one that the caller
// knows, or when the wait that the call permits is over.
func (p *Platform) await(r *http.Request, key string) (lhstore.Value, bool) {
	limit, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	ctx, cancel := context.WithTimeout(r.Context(), limit)
	defer cancel()
	known := r.Header.Get("If-None-Match")
	p.mu.Lock()
	defer p.mu.Unlock()
	for epoch := p.epoch; ; {
		value, found := p.keys[key]
		if value.ETag != known || ctx.Err() != nil {
			return value, found
		}
		changed := p.wakeup()
		p.mu.Unlock()
		select {
		case <-ctx.Done():
		case <-changed:
		}
		p.mu.Lock()
		if p.epoch != epoch {
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Platform) serveWrite(w http.ResponseWriter, r *http.Request, key string, data []byte) {
	etag, lost, done := p.store(r, key, data)
	if lost {
		panic(http.ErrAbortHandler)
	}
	if !done {
		http.Error(w, "the key has changed", http.StatusPreconditionFailed)
		return
	}
	w.Header().Set("ETag", etag)
}

func (p *Platform) store(r *http.Request, key string, data []byte) (etag string, lost, done bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	lost = p.losesReply()
	value, found := p.keys[key]
	if r.Header.Get("If-None-Match") == "*" && found {
		return "", lost, false
	}
	if match := r.Header.Get("If-Match"); match != "" && match != value.ETag {
		return "", lost, false
	}
	if p.keys == nil {
		p.keys = map[string]lhstore.Value{}
	}
	etag = p.nextTag()
	p.keys[key] = lhstore.Value{Data: data, ETag: etag}
	if r.Method == http.MethodDelete {
		delete(p.keys, key)
	}
	p.wake()
	return etag, lost, true
}

func (p *Platform) losesReply() bool {
	if p.faults.skip > 0 {
		p.faults.skip--
		return false
	}
	if p.faults.lose == 0 {
		return false
	}
	p.faults.lose--
	return true
}

func (p *Platform) serveList(w http.ResponseWriter, query url.Values) {
	prefix, after := query.Get("prefix"), query.Get("after")
	p.mu.Lock()
	entries := []lhstore.Entry{}
	for key, value := range p.keys {
		if strings.HasPrefix(key, prefix) && key > after {
			entries = append(entries, lhstore.Entry{Key: key, ETag: value.ETag})
		}
	}
	p.mu.Unlock()
	sort.Slice(entries, func(i, j int) bool { return entries[i].Key < entries[j].Key })
	if limit, err := strconv.Atoi(query.Get("limit")); err == nil && limit < len(entries) {
		entries = entries[:limit]
	}
	_ = json.NewEncoder(w).Encode(entries)
}

func (p *Platform) serveLease(w http.ResponseWriter, r *http.Request, name string) {
	query := r.URL.Query()
	holder := query.Get("holder")
	p.mu.Lock()
	defer p.mu.Unlock()
	lease := p.leases[name]
	held := p.now().Before(lease.until)
	switch {
	case held && lease.holder != holder:
		http.Error(w, "held by another", http.StatusConflict)
		return
	case r.Method == http.MethodDelete:
		delete(p.leases, name)
		return
	case !held:
		lease = p.newGrant(name, holder)
	}
	life, _ := time.ParseDuration(query.Get("ttl"))
	lease.until = p.now().Add(life)
	p.leases[name] = lease
	_, _ = fmt.Fprint(w, lease.fence)
}

func (p *Platform) newGrant(name, holder string) grant {
	if p.leases == nil {
		p.leases, p.fences = map[string]grant{}, map[string]uint64{}
	}
	p.fences[name]++
	return grant{holder: holder, fence: p.fences[name]}
}

func (p *Platform) serveVMs(w http.ResponseWriter) {
	p.mu.Lock()
	vms := []lhstore.VM{}
	for _, list := range p.lists {
		if !list.since.After(p.now().Add(-p.faults.lag)) {
			vms = list.vms
		}
	}
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(vms)
}

func (p *Platform) now() time.Time {
	if p.Clock == nil {
		return time.Now()
	}
	return p.Clock()
}

func (p *Platform) nextTag() string {
	p.writes++
	return fmt.Sprintf("%q", fmt.Sprint(p.writes))
}

func (p *Platform) wakeup() <-chan struct{} {
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

func (p *Platform) wake() {
	if p.changed != nil {
		close(p.changed)
		p.changed = nil
	}
}

func (p *Platform) endWatches() {
	p.epoch++
	p.wake()
}

// wait returns after d, or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
