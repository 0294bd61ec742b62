package lhmark

import (
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Evacuation is an operator's request that no new flow goes to the backend servers of a data
// centre until it is taken back. Open flows go on.
type Evacuation struct {
	DataCentre string
	// Revision is the number of the store's revision in which it was requested last.
	Revision uint64
	// Doubtful is set if a restored store lacks the request. It stays in force until the
	// operator has had time to write it again.
	Doubtful bool
}

// Evacuate records that the store holds a request to evacuate a data centre, and reports
// whether that is a change.
func (d *Directory) Evacuate(dataCentre string, revision uint64) bool {
	known, ok := d.evacuations[dataCentre]
	if d.evacuations == nil {
		d.evacuations = make(map[string]Evacuation)
	}
	d.evacuations[dataCentre] = Evacuation{DataCentre: dataCentre, Revision: revision}
	d.stale = d.stale || !ok || known != d.evacuations[dataCentre]
	return !ok || known.Doubtful
}

// EndEvacuation records that the store holds no request to evacuate a data centre, and reports
// whether that is a change. A request that is missing from the copy that a store was restored
// from stays in force until copyGrace later.
func (d *Directory) EndEvacuation(dataCentre string) bool {
	known, ok := d.evacuations[dataCentre]
	switch {
	case !ok:
		return false
	case d.listingCopy:
		known.Doubtful = true
		d.evacuations[dataCentre] = known
	default:
		delete(d.evacuations, dataCentre)
	}
	d.stale = true
	return true
}

// Evacuation returns the evacuation of a data centre that is in force.
func (d *Directory) Evacuation(dataCentre string) (Evacuation, bool) {
	known, ok := d.evacuations[dataCentre]
	return known, ok
}

// settleEvacuations ends the evacuations that the operator has not written again after a restore
// of the store.
func (d *Directory) settleEvacuations() {
	for name, known := range d.evacuations {
		if known.Doubtful && d.asOf >= d.restoredAt+copyGrace {
			delete(d.evacuations, name)
			d.stale = true
		}
	}
}

// Evacuations returns the evacuations in force, by the name of their data centre.
func (t *Table) Evacuations() []Evacuation {
	list := make([]Evacuation, 0, len(t.evacuations))
	for _, known := range t.evacuations {
		list = append(list, known)
	}
	slices.SortFunc(list, func(a, b Evacuation) int { return strings.Compare(a.DataCentre, b.DataCentre) })
	return list
}

// ServersIn returns the servers of a data centre that have not ended, in no particular order.
func (t *Table) ServersIn(dataCentre string) []*Server {
	var list []*Server
	for number, s := range t.byNumber {
		if s.DataCentre == dataCentre && !t.ended[number] {
			list = append(list, s)
		}
	}
	return list
}

// WithheldCount returns the number of servers that take no new flows only because their data
// centre is evacuated.
func (t *Table) WithheldCount() int {
	sum := 0
	for _, n := range t.withheld {
		sum += n
	}
	return sum
}

// evacuated reports whether a server is in an evacuated data centre.
func (t *Table) evacuated(s *Server) bool {
	_, ok := t.evacuations[s.DataCentre]
	return ok
}

// serves reports whether the server with a number takes new flows.
func (t *Table) serves(number uint32) bool {
	s, ok := t.byNumber[number]
	return ok && s.State == lhconf.Serving && !t.ended[number] && !t.evacuated(s)
}

// rejectSYN decides on the SYN of a flow to a service without servers that take new flows. Like
// throttleSYN it refuses none of which another VM may have forwarded a copy.
func (e *Engine) rejectSYN(ev *lhflow.Event, t *Table, route *Route, service string, s *shard, r *record) Decision {
	reason := lhflow.ReasonNoServer
	if t.withheld[service] > 0 && len(t.servingOf(service)) == 0 {
		reason = lhflow.ReasonEvacuated
	}
	if !r.coversCopies(ev) {
		d := drop(reason)
		d.Route = route
		return d
	}
	if r != nil {
		e.removeFlow(ev.Now, s, ev.Key, r)
	}
	return refuse(reason, route)
}
