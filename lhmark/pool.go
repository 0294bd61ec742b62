package lhmark

import (
	"cmp"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// pool holds the servers of a service that take new flows. It is immutable.
type pool struct {
	// servers are sorted by data centre and name, and dataCentres holds the range of each
	// data centre in them.
	servers     []*Server
	dataCentres map[string]span
	// maxSlots is the largest number of slots of a server; at least 1.
	maxSlots uint32
}

// span is a range of indexes, from start up to but not including end.
type span struct{ start, end int }

func newPool(servers []*Server) *pool {
	p := &pool{servers: servers, dataCentres: make(map[string]span), maxSlots: 1}
	slices.SortFunc(p.servers, func(a, b *Server) int {
		return cmp.Or(strings.Compare(a.DataCentre, b.DataCentre), strings.Compare(a.Name, b.Name))
	})
	for i, s := range p.servers {
		r, ok := p.dataCentres[s.DataCentre]
		if !ok {
			r.start = i
		}
		r.end = i + 1
		p.dataCentres[s.DataCentre] = r
		p.maxSlots = max(p.maxSlots, s.Slots)
	}
	return p
}

// local returns the part of the pool in a data centre, and remote the rest.
func (p *pool) local(dataCentre string) part {
	r := p.dataCentres[dataCentre]
	return part{pool: p, span: r, size: r.end - r.start}
}

func (p *pool) remote(dataCentre string) part {
	r := p.dataCentres[dataCentre]
	return part{pool: p, span: span{r.end, r.end + len(p.servers) - (r.end - r.start)}, size: len(p.servers) - (r.end - r.start)}
}

// part is a number of consecutive servers of a pool, which may continue at its start.
type part struct {
	pool *pool
	span span
	size int
}

// at returns the server with an index below size.
func (p part) at(i int) *Server { return p.pool.servers[(p.span.start+i)%len(p.pool.servers)] }

// draw returns a server chosen by a hash of the flow and the number of the draw. Of servers
// with fewer slots than others only a part of the draws returns one.
func (p part) draw(id lhflow.ID, n uint64) (*Server, bool) {
	hash := lhflow.Rank(id, drawSalt+n)
	s := p.at(int(hash >> 32 % uint64(p.size)))
	return s, uint32(hash)%p.pool.maxSlots < max(s.Slots, 1)
}

// drawSalt makes draws independent of other ranks of a flow.
const drawSalt = 0x64726177 << 16
