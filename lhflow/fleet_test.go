package lhflow

import (
	"time"
)

// fleet is a design for keeping flows at their servers, driven by a simulation. A
// packet enters at one VM and leaves to a server, to the caller, or is dropped.
type fleet interface {
	// deliver handles one packet that arrives at VM vm. It returns the number of
	// the server that received it (0 for none), whether the caller received it or
	// was reset, and how often the packet was relayed between VMs.
	deliver(vm int, ev Event) outcome
	// setServers gives VM vm the backend servers that accept new flows.
	setServers(now time.Duration, vm int, serving []uint32)
	// setMembers gives VM vm the members of the group.
	setMembers(now time.Duration, vm int, list []Member)
	// handOver runs hand-over to completion and returns the number of bytes sent.
	handOver(now time.Duration) int
	// recordsPerVM returns the average number of records at a VM.
	recordsPerVM() int
}

type outcome struct {
	server uint32
	caller bool
	reset  bool
	hops   int
}

// hashFleet hashes over the current servers and stores no state.
type hashFleet struct{ serving [maxVMs][]uint32 }

func (f *hashFleet) deliver(vm int, ev Event) outcome {
	if ev.Source == FromServer {
		return outcome{caller: true}
	}
	list := f.serving[vm]
	return outcome{server: list[ev.ID.Lo%uint64(len(list))]}
}

func (f *hashFleet) setServers(_ time.Duration, vm int, serving []uint32) { f.serving[vm] = serving }
func (f *hashFleet) setMembers(time.Duration, int, []Member)              {}
func (f *hashFleet) handOver(time.Duration) int                           { return 0 }
func (f *hashFleet) recordsPerVM() int                                    { return 0 }

// localFleet selects by rendezvous hashing and stores at each VM the flows that
// this VM has seen.
type localFleet struct {
	serving [maxVMs][]uint32
	table   [maxVMs]map[ID]uint32
}

func (f *localFleet) deliver(vm int, ev Event) outcome {
	if f.table[vm] == nil {
		f.table[vm] = map[ID]uint32{}
	}
	if ev.Source == FromServer {
		f.table[vm][ev.ID] = ev.Server
		return outcome{caller: true}
	}
	if s, ok := f.table[vm][ev.ID]; ok && !isOpeningSYN(&ev) {
		return outcome{server: s}
	}
	s := highestRank(ev.ID, f.serving[vm])
	f.table[vm][ev.ID] = s
	return outcome{server: s}
}

func (f *localFleet) setServers(_ time.Duration, vm int, serving []uint32) { f.serving[vm] = serving }
func (f *localFleet) setMembers(time.Duration, int, []Member)              {}
func (f *localFleet) handOver(time.Duration) int                           { return 0 }

func (f *localFleet) recordsPerVM() int {
	sum := 0
	for _, t := range f.table {
		sum += len(t)
	}
	return sum / initialVMs
}

// exceptionFleet is localFleet in which a VM immediately announces to all others
// (12 bytes to each) every flow whose server is not the choice of the newest server
// list.
type exceptionFleet struct {
	localFleet
	exceptions map[ID]uint32
	bytes      int
}

func (f *exceptionFleet) deliver(vm int, ev Event) outcome {
	if s, ok := f.exceptions[ev.ID]; ok && ev.Source == FromCaller && !isOpeningSYN(&ev) {
		return outcome{server: s}
	}
	return f.localFleet.deliver(vm, ev)
}

func (f *exceptionFleet) setServers(now time.Duration, vm int, serving []uint32) {
	f.localFleet.setServers(now, vm, serving)
	if f.exceptions == nil {
		f.exceptions = map[ID]uint32{}
	}
	for id, s := range f.table[vm] {
		if _, ok := f.exceptions[id]; ok || highestRank(id, serving) == s {
			continue
		}
		f.exceptions[id] = s
		f.bytes += 12 * (initialVMs - 1)
	}
}

func (f *exceptionFleet) handOver(time.Duration) int {
	n := f.bytes
	f.bytes = 0
	return n
}

func highestRank(id ID, list []uint32) uint32 {
	var best uint32
	var high uint64
	for _, s := range list {
		if w := Rank(id, uint64(s)); best == 0 || w > high {
			best, high = s, w
		}
	}
	return best
}

// engineFleet runs one Engine per VM.
type engineFleet struct {
	engines [maxVMs]*Engine
	placers [maxVMs]*testPlacer
	// dead marks the VMs that lose the packets relayed to them.
	dead [maxVMs]bool
	// abandoned counts half-open flows that were reset at their first server.
	abandoned int
	limits    Limits
}

func newEngineFleet(l Limits) *engineFleet { return &engineFleet{limits: l} }

func (f *engineFleet) engine(vm int) *Engine {
	if f.engines[vm] == nil {
		f.placers[vm] = &testPlacer{flows: map[uint32]int{}}
		f.engines[vm] = NewEngine(memberOf(vm), f.placers[vm], f.limits)
	}
	return f.engines[vm]
}

func (f *engineFleet) deliver(vm int, ev Event) outcome {
	out := outcome{}
	for {
		v := f.engine(vm).Handle(ev)
		if v.AbandonedServer != 0 {
			f.abandoned++
		}
		switch v.Action {
		case ToServer:
			out.server = v.Server
			return out
		case ToCaller:
			out.caller = true
			return out
		case Refuse, Reset:
			out.reset = true
			return out
		case Drop:
			return out
		}
		out.hops++
		ev.Peer = memberOf(vm)
		ev.Relay = v.Relay
		vm = vmOf(v.Peer)
		if f.dead[vm] {
			return out
		}
	}
}

func (f *engineFleet) setServers(_ time.Duration, vm int, serving []uint32) {
	f.engine(vm)
	f.placers[vm].serving = serving
}

func (f *engineFleet) setMembers(now time.Duration, vm int, list []Member) {
	e := f.engine(vm)
	e.SetView(now, NewView(e.View().Version+1, memberOf(vm), list))
}

func (f *engineFleet) handOver(now time.Duration) int {
	return f.handOverOnce(now) + f.handOverOnce(now)
}

func (f *engineFleet) handOverOnce(now time.Duration) int {
	bytes := 0
	for vm, e := range f.engines {
		if e == nil || f.dead[vm] {
			continue
		}
		for _, m := range e.View().Members {
			batch := e.TakePending(m.ID, 1<<30)
			bytes += recordSize * len(batch)
			if to := vmOf(m.ID); !f.dead[to] {
				f.engine(to).Receive(now, memberOf(vm), batch)
			}
		}
	}
	return bytes
}

func (f *engineFleet) recordsPerVM() int {
	sum := 0
	for _, e := range f.engines {
		if e != nil {
			sum += e.Len()
		}
	}
	return sum / initialVMs
}

// recordSize is the size of a record in a hand-over, in bytes.
const recordSize = 24

// testPlacer selects by rendezvous hashing over the serving servers.
type testPlacer struct {
	serving          []uint32
	flows            map[uint32]int
	refuse           bool
	handshakeTimeout time.Duration
	transitions      [Ended + 1]int
}

func (p *testPlacer) Place(_ time.Duration, id ID, _ Key, tried uint32) Placement {
	if p.refuse {
		return Placement{Reason: ReasonRefused}
	}
	list := make([]uint32, 0, len(p.serving))
	for _, s := range p.serving {
		if s != tried {
			list = append(list, s)
		}
	}
	return Placement{Server: highestRank(id, list), Reason: ReasonNoServer}
}

func (p *testPlacer) Serves(server uint32, _ Key) bool { return p.Declared(server) }
func (p *testPlacer) Declared(uint32) bool             { return true }

func (p *testPlacer) Accepts(server uint32) bool {
	for _, s := range p.serving {
		if s == server {
			return true
		}
	}
	return false
}

func (p *testPlacer) HandshakeTimeout(time.Duration, uint32) time.Duration {
	if p.handshakeTimeout != 0 {
		return p.handshakeTimeout
	}
	return halfOpenTTL
}

func (p *testPlacer) Retry(Key) bool { return true }

func (p *testPlacer) Report(_ time.Duration, r Report) {
	p.transitions[r.Transition]++
	switch r.Transition {
	case Opened, Adopted:
		p.flows[r.Server]++
	case Rejected, Unanswered, Ended:
		p.flows[r.Server]--
	}
}

func memberOf(vm int) MemberID { return MemberID(vm+1) * 0x9e3779b97f4a7c15 }
func vmOf(m MemberID) int      { return vmByID[m] }

var vmByID = func() map[MemberID]int {
	m := map[MemberID]int{}
	for vm := range maxVMs {
		m[memberOf(vm)] = vm
	}
	return m
}()
