package lhstand

import (
	"fmt"
	"net/http"
	"time"
)

type grant struct {
	holder string
	fence  uint64
	until  time.Time
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
