package lhstand

import (
	"fmt"
	"net/http"
	"time"
)

type leaseGrant struct {
	holder       string
	fencingToken uint64
	expires      time.Time
}

func (p *Platform) serveLease(w http.ResponseWriter, r *http.Request, name string) {
	query := r.URL.Query()
	holder := query.Get("holder")
	p.mu.Lock()
	defer p.mu.Unlock()
	lease := p.leases[name]
	active := p.now().Before(lease.expires)
	switch {
	case active && lease.holder != holder:
		http.Error(w, "the lease has another holder", http.StatusConflict)
		return
	case r.Method == http.MethodDelete:
		delete(p.leases, name)
		return
	case !active:
		lease = p.newLeaseGrant(name, holder)
	}
	ttl, _ := time.ParseDuration(query.Get("ttl"))
	lease.expires = p.now().Add(ttl)
	p.leases[name] = lease
	_, _ = fmt.Fprint(w, lease.fencingToken)
}

func (p *Platform) newLeaseGrant(name, holder string) leaseGrant {
	if p.leases == nil {
		p.leases, p.fencingTokens = map[string]leaseGrant{}, map[string]uint64{}
	}
	p.fencingTokens[name]++
	return leaseGrant{holder: holder, fencingToken: p.fencingTokens[name]}
}
