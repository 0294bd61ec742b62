package lhwork_test

import (
	"container/heap"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
	"github.com/laburnumhollow/laburnumhollow/lhplace"
	"github.com/laburnumhollow/laburnumhollow/lhwork"
)

// Parameters of the model, those of a present deployment.
const (
	modelServers     = 14
	modelSlots       = 2
	modelConnections = 2000
	modelQueue       = 16
	modelVMs         = 8
	serviceTime      = 20 * time.Millisecond
	networkDelay     = time.Millisecond
	callerTimeout    = time.Second
	holdTime         = 3 * time.Second
	// modelCapacity is how many units per second the servers can process.
	modelCapacity = modelServers * modelSlots * int(time.Second/serviceTime)
)

var serviceAddress = netip.MustParseAddrPort("10.0.0.1:443")

// policy is the interface that the model uses on each VM; lhwork.Controller
// implements it.
type policy interface {
	Admit(now time.Duration, u lhwork.Unit) lhwork.Decision
	Choose(now time.Duration, id lhflow.ID, key lhflow.Key, tried []uint32) (uint32, bool)
	Retry(key lhflow.Key) bool
	Opened(now time.Duration, f lhwork.Flow)
	Answered(now time.Duration, f lhwork.Flow, after time.Duration)
	Established(now time.Duration, f lhwork.Flow)
	Served(now time.Duration, f lhwork.Flow, after time.Duration)
	Closed(now time.Duration, f lhwork.Flow)
	ServerReset(now time.Duration, f lhwork.Flow)
	Report(now time.Duration, server uint32, load float64)
	SetView(now time.Duration, view *lhflow.View, lost []lhflow.MemberID)
}

// naivePolicy admits units in order of arrival up to a fixed number of flows, and
// chooses servers by hash.
type naivePolicy struct {
	held  int
	first lhwork.RetryBudget
}

func (n *naivePolicy) Admit(time.Duration, lhwork.Unit) lhwork.Decision {
	if n.held >= modelServers*modelConnections/modelVMs {
		return lhwork.Decision{Reason: lhwork.ReasonFlows}
	}
	n.first.Deposit()
	return lhwork.Decision{Admitted: true}
}

func (n *naivePolicy) Choose(_ time.Duration, id lhflow.ID, _ lhflow.Key, tried []uint32) (uint32, bool) {
	return uint32((id.Lo+uint64(len(tried)))%modelServers) + 1, true
}

func (n *naivePolicy) Retry(lhflow.Key) bool                                  { return n.first.Withdraw() }
func (n *naivePolicy) Opened(time.Duration, lhwork.Flow)                      { n.held++ }
func (n *naivePolicy) Answered(time.Duration, lhwork.Flow, time.Duration)     {}
func (n *naivePolicy) Established(time.Duration, lhwork.Flow)                 {}
func (n *naivePolicy) Served(time.Duration, lhwork.Flow, time.Duration)       {}
func (n *naivePolicy) Closed(time.Duration, lhwork.Flow)                      { n.held-- }
func (n *naivePolicy) ServerReset(time.Duration, lhwork.Flow)                 { n.held-- }
func (n *naivePolicy) Report(_ time.Duration, _ uint32, _ float64)            {}
func (n *naivePolicy) SetView(time.Duration, *lhflow.View, []lhflow.MemberID) {}
func newNaive(*lhplace.Table, *lhflow.View) policy                            { return &naivePolicy{} }

func newController(table *lhplace.Table, view *lhflow.View) policy {
	c := &lhwork.Controller{}
	c.SetTable(0, table)
	c.SetView(0, view, nil)
	return c
}

// scenario configures one run of the model.
type scenario struct {
	name string
	// factor is the rate of the flood over the capacity; flooded is the index of its
	// kind.
	factor, flooded int
	// report maps the true load of a server to the load that it reports.
	report func(load float64) float64
	// slots is the actual number of slots of a server; 0 for the declared number.
	slots int
	// shedding is how many servers reset half of the flows.
	shedding int
	// removedVMs is how many VMs fail one second into the flood.
	removedVMs int
}

// Times of a run.
const (
	floodStart = 3 * time.Second
	floodEnd   = 6 * time.Second
	runEnd     = 10 * time.Second
	bucketSize = 100 * time.Millisecond
)

// modelKind is a kind of work with its demand as a fraction of the capacity.
type modelKind struct {
	lhconf.Kind
	demand float64
}

func modelKinds() []modelKind {
	kind := func(name string, third byte, urgency lhconf.Urgency, share uint32, demand float64) modelKind {
		prefix := netip.PrefixFrom(netip.AddrFrom4([4]byte{10, 9, third, 0}), 24)
		return modelKind{lhconf.Kind{Name: name, Service: "shop", Callers: prefix, Urgency: urgency, Share: share}, demand}
	}
	return []modelKind{
		kind("orders", 0, 9, 50, 0.40),
		kind("proofs", 1, 5, 30, 0.25),
		kind("listing", 2, 1, 15, 0.10),
	}
}

// tally counts the units of one kind that arrived in one time bucket.
type tally struct{ offered, refused, reset, done int }

// model simulates callers, VMs and backend servers in virtual time.
type model struct {
	scenario
	seed   uint64
	now    time.Duration
	events eventQueue
	random *rand.Rand
	// arrivals gives each arrival stream its own random numbers, so that runs with
	// and without a flood have the other arrivals in common.
	arrivals []*rand.Rand
	kinds    []modelKind
	views    []*lhflow.View
	vms      map[lhflow.MemberID]policy
	servers  []*backend
	// tallies are indexed by kind and bucket.
	tallies        [][]tally
	first, retries int
}

// backend is a server that resets flows when its queue is full.
type backend struct {
	connections, busy int
	waiting           []*unit
	shedding          bool
}

// unit is one flow that carries one unit of work.
type unit struct {
	key      lhflow.Key
	id       lhflow.ID
	kind     int
	vm       policy
	flow     lhwork.Flow
	tried    []uint32
	tally    *tally
	dataSent time.Duration
	finished bool
}

// newModel sets up VMs with differing views: the view of each VM but the first lacks
// one of the others.
func newModel(s scenario, build func(*lhplace.Table, *lhflow.View) policy, seed uint64) *model {
	m := &model{scenario: s, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), kinds: modelKinds()}
	m.vms = map[lhflow.MemberID]policy{}
	cfg := &lhconf.Config{Services: []lhconf.Service{{Name: "shop", Address: serviceAddress, Proto: lhflow.TCP}}}
	for i := range modelServers {
		m.servers = append(m.servers, &backend{shedding: i < s.shedding})
		cfg.Servers = append(cfg.Servers, lhconf.BackendServer{
			Number: uint32(i + 1), Service: "shop", Weight: 1, Slots: modelSlots, Flows: modelConnections,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, 0, byte(i)}), 6081),
		})
	}
	for _, k := range m.kinds {
		cfg.Kinds = append(cfg.Kinds, k.Kind)
		m.tallies = append(m.tallies, make([]tally, runEnd/bucketSize+1))
	}
	table := lhplace.NewTable(cfg)
	for i := range modelVMs {
		m.views = append(m.views, partialView(modelVMs, i))
		m.vms[lhflow.MemberID(i+1)] = build(table, m.views[i])
	}
	return m
}

func partialView(vms, self int) *lhflow.View {
	var members []lhflow.Member
	for i := range vms {
		if self == 0 || i != (self+3)%vms {
			members = append(members, lhflow.Member{ID: lhflow.MemberID(i + 1), State: lhflow.Active})
		}
	}
	return lhflow.NewView(1, lhflow.MemberID(self+1), members)
}

// run runs the simulation to its end.
func (m *model) run() {
	for i, k := range m.kinds {
		m.scheduleArrival(stream{kind: i, random: m.streamRandom(i), demand: k.demand, end: runEnd})
	}
	if m.factor > 0 {
		m.now = floodStart
		m.scheduleArrival(stream{kind: m.flooded, random: m.streamRandom(len(m.kinds)), demand: float64(m.factor), end: floodEnd})
		m.now = 0
	}
	m.reportLoads()
	if m.removedVMs > 0 {
		m.after(floodStart+time.Second, m.removeVMs)
	}
	for len(m.events) > 0 && m.events[0].at < runEnd+callerTimeout {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
}

// removeVMs removes VMs from all views. Their flows continue; new ones go to the
// other VMs.
func (m *model) removeVMs() {
	m.views = m.views[:modelVMs-m.removedVMs]
	for i, v := range m.views {
		members := slices.DeleteFunc(slices.Clone(v.Members), func(o lhflow.Member) bool { return int(o.ID) > len(m.views) })
		m.views[i] = lhflow.NewView(v.Version+1, v.Self, members)
		m.vms[v.Self].SetView(m.now, m.views[i], nil)
	}
}

// stream is a sequence of arrivals of one kind.
type stream struct {
	kind   int
	random *rand.Rand
	// demand is the rate over the capacity.
	demand float64
	end    time.Duration
}

// streamRandom returns the random numbers of a stream, which differ from those of
// other streams.
func (m *model) streamRandom(i int) *rand.Rand { return rand.New(rand.NewPCG(m.seed, uint64(i+2))) }

// scheduleArrival schedules the next arrival of a stream.
func (m *model) scheduleArrival(s stream) {
	gap := time.Duration(s.random.ExpFloat64() / s.demand / float64(modelCapacity) * float64(time.Second))
	if m.now+gap >= s.end {
		return
	}
	m.after(gap, func() {
		m.start(s)
		m.scheduleArrival(s)
	})
}

func (m *model) start(s stream) {
	caller := netip.AddrFrom4([4]byte{10, 9, byte(s.kind), byte(s.random.Uint32())})
	key := lhflow.NewKey(lhflow.TCP, netip.AddrPortFrom(caller, uint16(s.random.Uint32())), serviceAddress)
	u := &unit{key: key, id: lhflow.ID{Hi: s.random.Uint64(), Lo: s.random.Uint64()}, kind: s.kind}
	u.tally = &m.tallies[s.kind][m.now/bucketSize]
	u.tally.offered++
	u.vm = m.vms[m.views[s.random.IntN(modelVMs)%len(m.views)].Owners(u.id).First]
	d := u.vm.Admit(m.now, lhwork.Unit{Key: key})
	if !d.Admitted {
		u.tally.refused++
		return
	}
	m.first++
	u.flow.Kind, u.flow.Caller = d.Kind, key.Caller
	m.sendSYN(u)
	m.after(callerTimeout, func() { m.cancel(u) })
}

// sendSYN sends the unit's SYN to the server that its VM chooses.
func (m *model) sendSYN(u *unit) {
	number, ok := u.vm.Choose(m.now, u.id, u.key, u.tried)
	if !ok {
		u.finished = true
		u.tally.refused++
		return
	}
	u.tried = append(u.tried, number)
	u.flow.Server, u.flow.Phase = number, lhwork.PhaseOpening
	u.vm.Opened(m.now, u.flow)
	m.after(networkDelay, func() { m.deliverSYN(u) })
}

// deliverSYN delivers the unit's SYN, which the server accepts or resets.
func (m *model) deliverSYN(u *unit) {
	b := m.servers[u.flow.Server-1]
	if b.connections >= modelConnections || len(b.waiting) >= modelQueue || b.shedding && m.random.IntN(2) == 0 {
		u.vm.ServerReset(m.now, u.flow)
		if u.vm.Retry(u.key) {
			m.retries++
			m.sendSYN(u)
			return
		}
		u.finished = true
		u.tally.refused++
		return
	}
	b.connections++
	u.vm.Answered(m.now, u.flow, networkDelay)
	m.after(2*networkDelay, func() { m.deliverData(u) })
}

// deliverData delivers the caller's data to the server.
func (m *model) deliverData(u *unit) {
	if u.finished {
		return
	}
	b := m.servers[u.flow.Server-1]
	u.vm.Established(m.now, u.flow)
	u.flow.Phase, u.dataSent = lhwork.PhaseWaiting, m.now
	if len(b.waiting) >= modelQueue {
		b.connections--
		u.finished = true
		u.tally.reset++
		u.vm.ServerReset(m.now, u.flow)
		return
	}
	b.waiting = append(b.waiting, u)
	m.startWork(b)
}

// startWork starts queued units while the server has a free slot.
func (m *model) startWork(b *backend) {
	for b.busy < m.realSlots() && len(b.waiting) > 0 {
		u := b.waiting[0]
		b.waiting = b.waiting[1:]
		if u.finished {
			continue
		}
		b.busy++
		m.after(time.Duration(m.random.ExpFloat64()*float64(serviceTime)), func() { m.finish(b, u) })
	}
}

func (m *model) realSlots() int {
	if m.slots == 0 {
		return modelSlots
	}
	return m.slots
}

func (m *model) finish(b *backend, u *unit) {
	b.busy--
	m.startWork(b)
	if u.finished {
		return
	}
	u.finished = true
	u.tally.done++
	u.vm.Served(m.now, u.flow, m.now-u.dataSent)
	u.flow.Phase = lhwork.PhaseServed
	held := time.Duration(0)
	if m.random.IntN(20) == 0 {
		held = holdTime
	}
	m.after(held, func() {
		b.connections--
		u.vm.Closed(m.now, u.flow)
	})
}

// cancel closes a unit whose caller has timed out without an answer.
func (m *model) cancel(u *unit) {
	if u.finished {
		return
	}
	u.finished = true
	u.tally.reset++
	if u.flow.Phase == lhwork.PhaseWaiting {
		m.servers[u.flow.Server-1].connections--
	}
	u.vm.Closed(m.now, u.flow)
}

// reportLoads reports the load of each server to all VMs once a second.
func (m *model) reportLoads() {
	for i, b := range m.servers {
		load := min(float64(b.busy+len(b.waiting))/modelSlots, 1)
		if m.report != nil {
			load = m.report(load)
		}
		for _, vm := range m.vms {
			vm.Report(m.now, uint32(i+1), load)
		}
	}
	m.after(time.Second, m.reportLoads)
}

// total returns the tally of the units of a kind that arrived in a time range.
func (m *model) total(kind int, from, to time.Duration) tally {
	var all tally
	for _, t := range m.tallies[kind][from/bucketSize : to/bucketSize] {
		all.offered += t.offered
		all.refused += t.refused
		all.reset += t.reset
		all.done += t.done
	}
	return all
}

// recovery is the time after the flood from which every later half second serves at
// least nineteen twentieths of the units served in a run without the flood.
func (m *model) recovery(baseline *model) time.Duration {
	const span = 5 * bucketSize
	recovered := floodEnd
	for at := floodEnd; at+span <= runEnd; at += bucketSize {
		done, expected := 0, 0
		for k := range m.kinds {
			done += m.total(k, at, at+span).done
			expected += baseline.total(k, at, at+span).done
		}
		if done*20 < expected*19 {
			recovered = at + span
		}
	}
	return recovered - floodEnd
}

func (m *model) after(d time.Duration, do func()) {
	heap.Push(&m.events, event{at: m.now + d, order: m.random.Uint64(), do: do})
}

// event is an action scheduled at a virtual time.
type event struct {
	at    time.Duration
	order uint64
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
