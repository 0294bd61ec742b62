package lhwork

import (
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
)

// configure applies the declarations of a service and keeps the state of its kinds
// and servers. slowStarts holds the times at which servers began slow start.
func (p *pool) configure(service *lhplace.Service, slowStarts map[uint32]time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.service, p.stale = service, true
	p.setKinds(service.Kinds())
	p.setServers(service.Servers(), slowStarts)
}

func (p *pool) setKinds(declared []*lhplace.Kind) {
	known := make(map[uint16]*kind, len(p.kinds))
	for _, k := range p.kinds {
		known[k.number()] = k
	}
	p.kinds = p.kinds[:0:0]
	for _, d := range declared {
		k := known[d.Number()]
		if k == nil {
			k = &kind{}
		}
		k.declared = d
		p.kinds = append(p.kinds, k)
	}
	rest := known[0]
	if rest == nil {
		rest = &kind{}
	}
	p.kinds = append(p.kinds, rest)
	p.claims = make([]Claim, len(p.kinds))
}

func (p *pool) setServers(declared []*lhplace.Server, slowStarts map[uint32]time.Duration) {
	known := make(map[uint32]*server, len(p.servers))
	for _, s := range p.servers {
		known[s.declared.Number()] = s
	}
	p.servers = p.servers[:0:0]
	for _, d := range declared {
		s := known[d.Number()]
		restored := s != nil && !s.declared.Serving() && d.Serving()
		if s == nil {
			s = &server{pool: p}
		}
		if s.declared == nil || restored {
			if started, ok := slowStarts[d.Number()]; ok {
				s.declared = d
				s.startWarmup(started)
			}
		}
		s.declared = d
		p.servers = append(p.servers, s)
	}
}

// setPlan divides this VM's flows among the data centres of the servers.
func (p *pool) setPlan(view *lhflow.View, unreachable map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = true
	sites, index := p.sites(view)
	excludeUnreachable(sites, unreachable)
	parts := lhplace.Plan(localDataCentre(view), sites)
	p.plan = make([]float64, len(p.servers))
	for i, s := range p.servers {
		site := index[s.declared.DataCentre()]
		if sites[site].Weight > 0 {
			p.plan[i] = parts[site] / sites[site].Weight
		}
	}
}

// excludeUnreachable sets the weight of unreachable sites to zero, unless no other
// site has any weight.
func excludeUnreachable(sites []lhplace.Site, unreachable map[string]bool) {
	rest := 0.0
	for _, s := range sites {
		if !unreachable[s.Name] {
			rest += s.Weight
		}
	}
	if rest == 0 {
		return
	}
	for i := range sites {
		if unreachable[sites[i].Name] {
			sites[i].Weight = 0
		}
	}
}

// sites returns the data centres of the servers and of the owners of flows, and the
// index of each by name.
func (p *pool) sites(view *lhflow.View) (sites []lhplace.Site, index map[string]int) {
	index = map[string]int{}
	addSite := func(name string) *lhplace.Site {
		i, ok := index[name]
		if !ok {
			i = len(sites)
			index[name] = i
			sites = append(sites, lhplace.Site{Name: name})
		}
		return &sites[i]
	}
	for _, s := range p.servers {
		entry := addSite(s.declared.DataCentre())
		if s.declared.Serving() {
			entry.Weight += float64(s.declared.Weight())
		}
	}
	if view == nil {
		return sites, index
	}
	for _, m := range view.Members {
		if m.State == lhflow.Active || m.State == lhflow.Leaving {
			addSite(m.DataCentre).Owners++
		}
	}
	return sites, index
}

// localDataCentre returns the data centre of this VM.
func localDataCentre(view *lhflow.View) string {
	if view == nil {
		return ""
	}
	self, _ := view.Member(view.Self)
	return self.DataCentre
}
