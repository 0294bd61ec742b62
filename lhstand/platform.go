package lhstand

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
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
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lhstore.MaxValueSize))
	if err != nil {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	epoch, ok := p.admit(r)
	if !ok {
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
		p.serveRead(w, r, rest, epoch)
	case kind == "keys":
		p.serveWrite(w, r, rest, body)
	default:
		http.NotFound(w, r)
	}
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
