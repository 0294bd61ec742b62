package lhmark

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// Limits are the bounds that an Engine works within. A zero field stands for its
// default.
type Limits struct {
	// Flows is how many records are kept at most.
	Flows int
}

// defaultFlows is how many records are kept by default: about 4 MB of them.
const defaultFlows = 30_000

// repeatAfter is the least time after which a repeated packet says that the first
// was not answered. Callers repeat after 200 ms; repeats that come sooner waited
// together with the first, for instance while this VM stood still.
const repeatAfter = 150 * time.Millisecond

// Decision is what a VM does with one packet.
type Decision struct {
	lhflow.Verdict
	// To is set where the packet goes to a server.
	To *Server
	// Route is the flow's, or nil.
	Route *Route
	// Cost is the load per slot by which a new flow's server was chosen.
	Cost float64
	// Attempt numbers the servers that the flow's SYN was sent to, from 1; 0 for a
	// packet that is no SYN.
	Attempt int
	// Known is set where the VM had a record of the flow.
	Known bool
	// Silent is the server that left the flow's SYN unanswered before it went to
	// another, or nil, and Failures how many it left in a row.
	Silent   *Server
	Failures int
	// Recovered is set where the server answers again after it had left SYNs unanswered.
	Recovered bool
	// After is the time that the server's answer took, of a packet that shows the
	// answer to a SYN (Opened) or to a request (Served).
	After          time.Duration
	Opened, Served bool
}

// Engine decides over the packets that one VM sees. Its methods may be called from
// several threads.
type Engine struct {
	dataCentre string
	limits     Limits
	table      atomic.Pointer[Table]
	// current is set while the table is known to be up to date.
	current atomic.Bool
	shards  [shardCount]shard
	size    atomic.Int64
	// gauges holds a *gauge for each server by its number.
	gauges    sync.Map
	admission admission
}

// NewEngine returns an Engine of a VM in a data centre, which knows no table yet.
func NewEngine(dataCentre string, l Limits) *Engine {
	if l.Flows == 0 {
		l.Flows = defaultFlows
	}
	e := &Engine{dataCentre: dataCentre, limits: l}
	e.table.Store(newTable(Config{}, nil, nil))
	return e
}

// SetTable puts a table into force. What was seen of an earlier run of a server is
// forgotten.
func (e *Engine) SetTable(now time.Duration, t *Table) {
	before := e.table.Load()
	for _, s := range t.numbers {
		if o, known := before.numbers[s.Number]; !known || o.Born != s.Born {
			e.gauges.Store(s.Number, &gauge{warm: now + s.Warmup})
		}
	}
	e.gauges.Range(func(number, _ any) bool {
		if _, ok := t.numbers[number.(uint32)]; !ok {
			e.gauges.Delete(number)
		}
		return true
	})
	if len(t.serving) > 0 {
		e.admission.begin(now)
	}
	e.table.Store(t)
}

// SetCurrent says whether the table is up to date, so that a route it lacks does
// not exist.
func (e *Engine) SetCurrent(ok bool) { e.current.Store(ok) }

// Table returns the table in force.
func (e *Engine) Table() *Table { return e.table.Load() }

// Len returns the number of records.
func (e *Engine) Len() int { return int(e.size.Load()) }

// Handle decides what happens to one packet of a caller.
func (e *Engine) Handle(ev *lhflow.Event) Decision {
	t := e.table.Load()
	if t.Revision() == 0 {
		return drop(lhflow.ReasonNoConfig)
	}
	s := &e.shards[ev.ID.Lo%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.find(ev.Key)
	if ev.Flags.Has(lhflow.SYN) {
		return e.place(ev, t, s, r)
	}
	return e.follow(ev, t, s, r)
}

func drop(reason lhflow.Reason) Decision {
	return Decision{Verdict: lhflow.Verdict{Reason: reason}}
}

// refuse tells the caller of a SYN that nothing ran.
func refuse(reason lhflow.Reason, route *Route) Decision {
	return Decision{Verdict: lhflow.Verdict{Action: lhflow.Refuse, Reason: reason}, Route: route}
}

// toServer sends a packet to a server and marks it.
func toServer(s *Server) Decision {
	return Decision{Verdict: lhflow.Verdict{Action: lhflow.ToServer, Server: s.Number}, To: s}
}

// place decides over a SYN. The shard's lock is held.
func (e *Engine) place(ev *lhflow.Event, t *Table, s *shard, r *record) Decision {
	route, ok := t.Route(ev.Key)
	switch {
	case !ok && e.current.Load():
		return refuse(lhflow.ReasonNoService, nil)
	case !ok:
		return drop(lhflow.ReasonNoService)
	}
	if r != nil && r.isn == ev.Seq {
		return e.again(ev, t, route, r)
	}
	if r != nil {
		// The port is used for a new flow.
		e.end(s, ev.Key, r)
	}
	if e.Len() >= e.limits.Flows {
		e.expire(ev.Now, s, t.idle())
	}
	service := route.service(ev.ID)
	if e.holdsBack(ev.Now, t, route, service, nil) {
		return holdBack(ev, route)
	}
	c := e.choose(ev.Now, ev.ID, t.serving[service], nil)
	if c == nil {
		return refuse(lhflow.ReasonNoServer, route)
	}
	if e.Len() < e.limits.Flows {
		r = &record{isn: ev.Seq, copies: ev.Ack, seen: ev.Now}
		s.put(ev.Key, r)
		e.size.Add(1)
		e.send(ev.Now, r, c.server)
	}
	d := toServer(c.server)
	d.Route, d.Cost, d.Attempt = route, c.cost, 1
	return d
}

// again decides over a SYN that this VM has seen before. A copy that the caller sent
// later than the last goes to another server, and the flow's server is the one that
// the caller then acknowledges.
func (e *Engine) again(ev *lhflow.Event, t *Table, route *Route, r *record) Decision {
	if r.state != opening {
		return drop(lhflow.ReasonReuse)
	}
	late := ev.Ack > r.copies && ev.Now-r.sent >= repeatAfter
	r.copies, r.seen = max(r.copies, ev.Ack), ev.Now
	if late {
		return e.elsewhere(ev, t, route, r)
	}
	return e.repeat(t, route, r)
}

// repeat sends a SYN to the server that has it already.
func (e *Engine) repeat(t *Table, route *Route, r *record) Decision {
	server, ok := t.Server(r.server)
	if !ok {
		return drop(lhflow.ReasonServerGone)
	}
	d := toServer(server)
	d.Route, d.Attempt, d.Known = route, int(r.attempts), true
	return d
}

// elsewhere sends a SYN that was not answered to another server, if there is one.
func (e *Engine) elsewhere(ev *lhflow.Event, t *Table, route *Route, r *record) Decision {
	g := e.ofNumber(r.server)
	silent, _ := t.Server(r.server)
	failures := g.silent(ev.Now)
	var c *candidate
	if r.attempts < maxServers {
		c = e.choose(ev.Now, ev.ID, t.serving[route.service(ev.ID)], r.tried[:r.attempts])
	}
	if c != nil {
		g.add(-1, -1)
		e.send(ev.Now, r, c.server)
	}
	d := e.repeat(t, route, r)
	d.Silent, d.Failures = silent, failures
	if c != nil {
		d.Cost = c.cost
	}
	return d
}

// send notes that the flow's SYN goes to a server.
func (e *Engine) send(now time.Duration, r *record, s *Server) {
	r.server, r.sent, r.busy = s.Number, now, true
	r.tried[r.attempts] = s.Number
	r.attempts++
	e.gauge(s).place(now)
}

// follow decides over a packet that is no SYN. The shard's lock is held.
func (e *Engine) follow(ev *lhflow.Event, t *Table, s *shard, r *record) Decision {
	known := r != nil
	if r == nil {
		r = &record{state: open, server: ev.Mark, end: ev.Seq, ack: ev.Ack}
	}
	if known && r.state == opening && ev.Mark != 0 {
		// The mark is that of the server whose answer the caller acknowledges.
		e.settle(r, ev.Mark)
	}
	server, ok := t.Server(r.server)
	if !ok {
		if r.server == 0 {
			return drop(lhflow.ReasonUnknownFlow)
		}
		return drop(lhflow.ReasonServerGone)
	}
	d := toServer(server)
	if t.Gone(r.server) && !ev.Flags.Has(lhflow.RST) {
		// Nobody will answer; what a request in progress has come to is not known.
		d.Verdict = lhflow.Verdict{Action: lhflow.Reset, Reason: lhflow.ReasonServerGone}
	}
	d.Known = known
	d.Route, _ = t.Route(ev.Key)
	if known && d.Action == lhflow.ToServer && r.begins(ev) && e.holdsBack(ev.Now, t, d.Route, server.Service, server) {
		r.seen = ev.Now
		d.Verdict = lhflow.Verdict{Reason: lhflow.ReasonRefused}
		return d
	}
	kept := known
	if !known && d.Action == lhflow.ToServer && !ev.Flags.Has(lhflow.RST) && e.Len() < e.limits.Flows {
		s.put(ev.Key, r)
		e.size.Add(1)
		e.gauge(server).add(1, 0)
		kept = true
	}
	if kept {
		e.measure(ev, r, &d)
	}
	if known && (ev.Flags.Has(lhflow.RST) || d.Action == lhflow.Reset) {
		e.end(s, ev.Key, r)
	}
	return d
}

// settle makes a server the flow's, of those that its SYN went to.
func (e *Engine) settle(r *record, number uint32) {
	if number == r.server {
		return
	}
	e.ofNumber(r.server).add(-1, -1)
	r.server = number
	e.ofNumber(number).add(1, 1)
}

// measure takes from a packet what it shows about the flow's server.
func (e *Engine) measure(ev *lhflow.Event, r *record, d *Decision) {
	g := e.ofNumber(r.server)
	r.seen = ev.Now
	if r.state == opening {
		r.state = open
		r.end, r.ack = ev.Seq, ev.Ack
		d.Opened, d.After = true, ev.Now-r.sent
		e.idle(g, r)
		d.Recovered = g.open()
	}
	if r.busy && int32(ev.Ack-r.ack) > 0 {
		d.Served, d.After = true, ev.Now-r.sent
		e.idle(g, r)
		e.admission.answered(ev.Now, d.Route, d.To.Service, d.After)
	}
	if end := ev.Seq + uint32(ev.Data); ev.Data > 0 && int32(end-r.end) > 0 {
		r.end = end
		if !r.busy {
			r.busy, r.sent, r.ack = true, ev.Now, ev.Ack
			g.add(0, 1)
		}
	}
	if ev.Flags.Has(lhflow.FIN) {
		r.state = closing
		e.idle(g, r)
	}
}

// idle notes that a flow has no SYN or request in progress.
func (e *Engine) idle(g *gauge, r *record) {
	if r.busy {
		r.busy = false
		g.add(0, -1)
	}
}

// end forgets a flow. The shard's lock is held.
func (e *Engine) end(s *shard, key lhflow.Key, r *record) {
	g := e.ofNumber(r.server)
	e.idle(g, r)
	g.add(-1, 0)
	delete(s.records, key)
	e.size.Add(-1)
}

// Expire forgets the flows of which nothing more is expected.
func (e *Engine) Expire(now time.Duration) {
	idle := e.table.Load().idle()
	for i := range e.shards {
		s := &e.shards[i]
		s.mu.Lock()
		e.expire(now, s, idle)
		s.mu.Unlock()
	}
}

func (e *Engine) expire(now time.Duration, s *shard, idle time.Duration) {
	for key, r := range s.records {
		if r.expired(now, idle) {
			e.end(s, key, r)
		}
	}
}

// idle returns the silence after which an open flow is forgotten.
func (t *Table) idle() time.Duration {
	if t.cfg.Idle > 0 {
		return t.cfg.Idle
	}
	return defaultIdle
}

// gauge returns what is known of a server.
func (e *Engine) gauge(s *Server) *gauge { return e.ofNumber(s.Number) }

func (e *Engine) ofNumber(number uint32) *gauge {
	if g, ok := e.gauges.Load(number); ok {
		return g.(*gauge)
	}
	// A server of an earlier table: what is noted here is of no more use.
	return &gauge{}
}
