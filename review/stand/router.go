package main

import (
	"context"
	"hash/fnv"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

const (
	// readyInterval is the time between two readiness checks of a VM.
	readyInterval = 500 * time.Millisecond
	// readyTimeout is how long the answer to one may take.
	readyTimeout = 400 * time.Millisecond
	// maxMisses is the number of misses after which a VM is out of rotation.
	maxMisses = 2
)

// node is an entry VM as the routers see it.
type node struct {
	name       string
	data       netip.AddrPort
	ready      netip.AddrPort
	misses     int
	inRotation bool
}

// router stands in for the platform's routers. It chooses a VM by a hash of the addresses
// of a packet modulo the number of VMs in rotation.
type router struct {
	mu    sync.Mutex
	nodes []*node
	rec   *recorder
}

// add adds a VM, which is out of rotation until it is ready.
func (r *router) add(ctx context.Context, n *node) {
	r.mu.Lock()
	r.nodes = append(r.nodes, n)
	r.mu.Unlock()
	go func() {
		client := http.Client{Timeout: readyTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
		for ctx.Err() == nil {
			r.checked(n, isReady(&client, n.ready))
			time.Sleep(readyInterval)
		}
	}()
}

func isReady(client *http.Client, address netip.AddrPort) bool {
	response, err := client.Get("http://" + address.String() + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (r *router) checked(n *node, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := n.inRotation
	if ok {
		n.misses, n.inRotation = 0, true
	} else if n.misses++; n.misses >= maxMisses {
		n.inRotation = false
	}
	if n.inRotation != before {
		r.rec.printf("router: %s in rotation: %v", n.name, n.inRotation)
	}
}

// inRotation returns the number of VMs in rotation.
func (r *router) inRotation() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.active())
}

// active returns the VMs in rotation. The lock must be held.
func (r *router) active() []*node {
	var list []*node
	for _, n := range r.nodes {
		if n.inRotation {
			list = append(list, n)
		}
	}
	return list
}

// pick returns the VM for a packet. If fewer than half of the VMs are in rotation, all are
// used.
func (r *router) pick(p *packet) *node {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.active()
	if 2*len(list) < len(r.nodes) {
		list = r.nodes
	}
	h := fnv.New32a()
	_, _ = h.Write(p.head()[7:19])
	return list[h.Sum32()%uint32(len(list))]
}
