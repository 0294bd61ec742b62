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

// Platform simulates the platform's key-value service and VM list. It is an
// http.Handler; Start serves it on loopback. The zero Platform is ready to use and
// injects no faults.
type Platform struct {
	// Clock returns the current time; nil means time.Now. Set it before first use.
	Clock func() time.Time

	mu sync.Mutex
	// keys is nil until the first write.
	keys map[string]lhstore.Value
	// lastETag is the number of the last ETag. Restoring a backup does not reset it.
	lastETag uint64
	// changed is closed and set to nil to wake waiting watches. It is nil while none
	// wait.
	changed chan struct{}
	// watchEpoch is incremented to end the current watches.
	watchEpoch uint64
	leases     map[string]leaseGrant
	// fencingTokens outlives the leases, so that a fencing token is never issued twice.
	fencingTokens map[string]uint64
	vmLists       []vmList
	faults        platformFaults
	counts        Counts
	// rateSecond is the current second in Unix time, and callsInSecond the number of
	// calls in it, for the rate limit.
	rateSecond    int64
	callsInSecond int

	server   *http.Server
	serveErr chan error
	url      string
}

// Counts contains the number of calls received, by kind. Refused and dropped calls
// are included.
type Counts struct {
	Reads, Writes, Watches, Lists, Leases, VMs int
	// RateLimited is the number of calls refused by the rate limit. They are also
	// counted by kind.
	RateLimited int
}

// Total returns the number of calls of all kinds.
func (c Counts) Total() int {
	return c.Reads + c.Writes + c.Watches + c.Lists + c.Leases + c.VMs
}

type vmList struct {
	since time.Time
	vms   []lhstore.VM
}

// Start serves the platform on an ephemeral loopback port until Close.
func (p *Platform) Start() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.url = "http://" + listener.Addr().String()
	p.server = &http.Server{Handler: p, ReadHeaderTimeout: time.Minute}
	p.serveErr = make(chan error, 1)
	go func() { p.serveErr <- p.server.Serve(listener) }()
	return nil
}

// URL returns the base URL of a started platform.
func (p *Platform) URL() string { return p.url }

// Close stops a started platform and ends all pending calls.
func (p *Platform) Close() error {
	err := p.server.Close()
	<-p.serveErr
	return err
}

// SetVMs sets the current list of VMs.
func (p *Platform) SetVMs(vms []lhstore.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vmLists = append(p.vmLists, vmList{since: p.now(), vms: vms})
}

// Counts returns the number of calls received so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, lhstore.MaxValueSize))
	if err != nil {
		http.Error(w, "request body too large", http.StatusRequestEntityTooLarge)
		return
	}
	epoch, ok := p.admit(r)
	if !ok {
		http.Error(w, "rate limit exceeded", http.StatusTooManyRequests)
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

func (p *Platform) countCall(r *http.Request) {
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
	for _, list := range p.vmLists {
		if !list.since.After(p.now().Add(-p.faults.vmListLag)) {
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
