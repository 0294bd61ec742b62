package lhflow

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// group is a group of three VMs with one flow between a caller and server 1 or 2.
type group struct {
	*engineFleet
	now time.Duration
	key Key
	id  ID
	// first, second and third are the VMs in rendezvous order of the flow.
	first, second, third int
}

func newGroup() *group {
	g := &group{engineFleet: newEngineFleet(Limits{}), now: time.Hour}
	g.key = Key{Proto: TCP, CallerPort: 40000, ServicePort: 443}
	g.id = Seed{}.ID(g.key)
	list := []Member{{ID: memberOf(0), State: Active}, {ID: memberOf(1), State: Active}, {ID: memberOf(2), State: Active}}
	for vm := range list {
		g.setServers(g.now, vm, []uint32{1, 2})
		g.setMembers(g.now, vm, list)
	}
	owners := g.engine(0).View().Owners(g.id)
	g.first, g.second = vmOf(owners.First), vmOf(owners.Second)
	g.third = 3 - g.first - g.second
	g.now += time.Minute
	return g
}

func (g *group) fromCaller(vm int, flags Flags, seq uint32, data int) outcome {
	return g.deliver(vm, Event{Now: g.now, ID: g.id, Key: g.key, Flags: flags, Seq: seq, Data: data})
}

func (g *group) fromServer(vm int, server uint32, flags Flags, ack uint32, data int) outcome {
	return g.deliver(vm, Event{
		Now: g.now, ID: g.id, Key: g.key, Source: FromServer, Server: server, Flags: flags, Ack: ack, Data: data,
	})
}

// open opens the flow with the given initial sequence number and returns its
// server.
func (g *group) open(isn uint32) uint32 {
	server := g.fromCaller(g.third, SYN, isn, 0).server
	g.fromServer(g.third, server, SYN|ACK, isn+1, 0)
	g.fromCaller(g.third, ACK, isn+1, 100)
	g.fromServer(g.third, server, ACK, isn+101, 100)
	return server
}

// leaseToThird relays packets until the third VM has a lease.
func (g *group) leaseToThird(isn uint32) {
	for range defaultRelaysBeforeLease + 2 {
		g.fromCaller(g.third, ACK, isn+1, 10)
	}
}

func (g *group) drain(server uint32) {
	for vm := range 3 {
		g.setServers(g.now, vm, []uint32{3 - server})
	}
}

func TestOpeningPassesBothOwners(t *testing.T) {
	g := newGroup()
	out := g.fromCaller(g.third, SYN, 7, 0)
	assert.Equal(t, out.hops, 2)
	for _, vm := range []int{g.first, g.second} {
		en, ok := g.engine(vm).lookup(g.id)
		assert.Assert(t, ok && en.server == out.server)
	}
	assert.Equal(t, g.placers[g.first].transitions[Opened], 1)
}

func TestLeaseAvoidsHop(t *testing.T) {
	g := newGroup()
	server := g.open(7)
	g.leaseToThird(7)
	assert.Equal(t, g.fromCaller(g.third, ACK, 8, 10), outcome{server: server})
	g.now += defaultLease
	assert.Equal(t, g.fromCaller(g.third, ACK, 8, 10).hops, 1, "the lease has expired")
	g.leaseToThird(7)
	assert.Equal(t, g.fromCaller(g.third, ACK, 8, 10), outcome{server: server}, "the lease is granted again")
}

func TestReusedPort(t *testing.T) {
	g := newGroup()
	server := g.open(7)
	assert.Equal(t, g.open(5000), server, "the same server while it accepts new flows")
	g.leaseToThird(5000)
	g.drain(server)
	assert.Equal(t, g.fromCaller(g.third, SYN, 90_000, 0), outcome{hops: 1}, "dropped while a lease may be in use")
	g.now += defaultLease + viewConvergence
	assert.Equal(t, g.fromCaller(g.third, SYN, 90_000, 0).server, 3-server)
	assert.Assert(t, !g.fromServer(g.third, server, ACK, 5101, 10).caller, "a late answer of the old flow")
}

func TestLateAnswerOfSameServer(t *testing.T) {
	g := newGroup()
	server := g.open(7_000_000)
	g.fromCaller(g.third, SYN, 9_000_000, 0)
	assert.Assert(t, !g.fromServer(g.third, server, ACK, 7_000_200, 10).caller)
	assert.Assert(t, g.fromServer(g.third, server, SYN|ACK, 9_000_001, 0).caller)
}

func TestLateEndOfEarlierFlow(t *testing.T) {
	g := newGroup()
	g.open(7_000_000)
	server := g.open(9_000_000)
	g.fromCaller(g.third, FIN|ACK, 7_000_200, 0)
	g.fromCaller(g.third, RST, 7_000_201, 0)
	assert.Equal(t, g.placers[g.first].flows[server], 1, "the new flow is still open")
	en, _ := g.engine(g.first).lookup(g.id)
	assert.Equal(t, en.state, Open)
}

func TestRefusedStaysRefused(t *testing.T) {
	g := newGroup()
	g.placers[g.first].refuse = true
	assert.Assert(t, g.fromCaller(g.third, SYN, 7, 0).reset)
	g.placers[g.first].refuse = false
	for vm := range 3 {
		assert.Assert(t, g.fromCaller(vm, SYN, 7, 0).reset, "VM %d", vm)
	}
	g.dead[g.first] = true
	rest := []Member{{ID: memberOf(g.second), State: Active}, {ID: memberOf(g.third), State: Active}}
	g.setMembers(g.now, g.second, rest)
	g.setMembers(g.now, g.third, rest)
	assert.Assert(t, g.fromCaller(g.third, SYN, 7, 0).reset, "also after the loss of the first owner")
	assert.Assert(t, g.fromCaller(g.third, SYN, 8, 0).server != 0, "a new flow is not affected")
}

func TestUnansweredSYN(t *testing.T) {
	g := newGroup()
	server := g.fromCaller(g.third, SYN, 7, 0).server
	assert.Equal(t, g.fromCaller(g.third, SYN, 7, 0).server, server, "too early to try another server")
	g.now += defaultRetryAfter
	assert.Equal(t, g.fromCaller(g.third, SYN, 7, 0).server, 3-server)
	assert.Equal(t, g.abandoned, 1)
	assert.Assert(t, !g.fromServer(g.third, server, SYN|ACK, 8, 0).caller, "a late answer of the first server")
	g.now += defaultRetryAfter
	assert.Equal(t, g.fromCaller(g.third, SYN, 7, 0).server, 3-server, "no third server")
	g.now += defaultRefuseAfter
	assert.Assert(t, g.fromCaller(g.third, SYN, 7, 0).reset)
}

func TestNoSecondServerAfterAnswer(t *testing.T) {
	g := newGroup()
	server := g.fromCaller(g.third, SYN, 7, 0).server
	g.fromServer(g.third, server, SYN|ACK, 8, 0)
	g.now += time.Minute / 2
	for vm := range 3 {
		assert.Equal(t, g.fromCaller(vm, SYN, 7, 0).server, server)
		assert.Equal(t, g.fromCaller(vm, ACK, 8, 10).server, server)
	}
}

// TestDifferingViews has two VMs with different views of the membership handle one
// flow. The owner that both views share keeps the flow at one server.
func TestDifferingViews(t *testing.T) {
	g := newGroup()
	server := g.fromCaller(g.first, SYN, 7, 0).server
	rest := []Member{{ID: memberOf(g.second), State: Active}, {ID: memberOf(g.third), State: Active}}
	g.setMembers(g.now, g.third, rest)
	g.setServers(g.now, g.second, []uint32{3 - server})
	assert.Equal(t, g.fromCaller(g.third, SYN, 7, 0).server, server)
	assert.Equal(t, g.fromCaller(g.third, ACK, 8, 10).server, server)
	assert.Equal(t, g.fromCaller(g.first, ACK, 8, 10).server, server)
}

func TestUnknownFlow(t *testing.T) {
	g := newGroup()
	assert.Assert(t, g.fromCaller(g.third, ACK, 8, 10).reset, "no member knows the flow")
	assert.Equal(t, g.fromServer(g.third, 1, ACK, 8, 10).caller, false)
	rest := []Member{{ID: memberOf(g.first), State: Active}, {ID: memberOf(g.second), State: Active}}
	g.setMembers(g.now, g.first, rest)
	g.setMembers(g.now, g.second, rest)
	out := g.fromCaller(g.first, ACK, 8, 10)
	assert.Assert(t, !out.reset && out.server == 0, "the lost VM may have held its record")
	g.now += defaultGrace + time.Second
	assert.Assert(t, g.fromCaller(g.first, ACK, 8, 10).reset)
}

func TestFlowCounts(t *testing.T) {
	g := newGroup()
	server := g.open(7)
	assert.Equal(t, g.placers[g.first].flows[server], 1)
	assert.Equal(t, g.placers[g.first].transitions[Responded], 1)
	g.fromCaller(g.second, FIN|ACK, 200, 0)
	g.fromServer(g.third, server, FIN|ACK, 201, 0)
	assert.Equal(t, g.placers[g.first].flows[server], 0)
	g.now += 2 * closedTTL
	for part := range shardCount {
		for vm := range 3 {
			g.engine(vm).Expire(g.now, part)
		}
	}
	assert.Equal(t, g.engine(g.first).Len()+g.engine(g.second).Len()+g.engine(g.third).Len(), 0)
	assert.Equal(t, g.placers[g.first].flows[server], 0)
}

func TestDatagrams(t *testing.T) {
	g := newGroup()
	g.key.Proto = UDP
	g.id = Seed{}.ID(g.key)
	server := g.fromCaller(0, 0, 0, 10).server
	g.drain(server)
	for vm := range 3 {
		assert.Equal(t, g.fromCaller(vm, 0, 0, 10).server, server)
		assert.Assert(t, g.fromServer(vm, server, 0, 0, 10).caller)
		assert.Assert(t, !g.fromServer(vm, 3-server, 0, 0, 10).caller)
	}
}

// TestPausedVM suspends the first owner while the flow's port is reused at another
// server. Its outdated record must not send the new flow to the old server.
func TestPausedVM(t *testing.T) {
	g := newGroup()
	for vm := range 3 {
		g.engine(vm).Heartbeat(g.now)
	}
	server := g.open(7)
	rest := []Member{{ID: memberOf(g.second), State: Active}, {ID: memberOf(g.third), State: Active}}
	g.setMembers(g.now, g.second, rest)
	g.setMembers(g.now, g.third, rest)
	g.drain(server)
	g.now += time.Minute
	for _, vm := range []int{g.second, g.third} {
		g.engine(vm).Heartbeat(g.now)
	}
	assert.Equal(t, g.open(90_000), 3-server)
	assert.Equal(t, g.fromCaller(g.first, ACK, 90_101, 10).server, 3-server)
	assert.Equal(t, g.engine(g.first).Pauses(), uint64(1))
}

// TestHealedPartition partitions the two owners, each of which places a flow from
// the same port, one after the other. When the partition heals, both must use the
// later one.
func TestHealedPartition(t *testing.T) {
	g := newGroup()
	alone := func(vm int) []Member { return []Member{{ID: memberOf(vm), State: Active}} }
	g.setMembers(g.now, g.first, alone(g.first))
	g.setMembers(g.now, g.second, alone(g.second))
	server := g.fromCaller(g.first, SYN, 7, 0).server
	g.drain(server)
	g.now += time.Minute
	assert.Equal(t, g.fromCaller(g.second, SYN, 90_000, 0).server, 3-server)
	g.fromServer(g.second, 3-server, SYN|ACK, 90_001, 0)
	pair := append(alone(g.first), alone(g.second)...)
	g.setMembers(g.now, g.first, pair)
	g.setMembers(g.now, g.second, pair)
	g.handOver(g.now)
	for _, vm := range []int{g.first, g.second} {
		assert.Equal(t, g.fromCaller(vm, ACK, 90_001, 10).server, 3-server)
	}
}

// TestHalfOpenFlow opens flows whose caller does not complete the handshake in
// time. The first owner expires the flow at the server's handshake timeout, the
// second some time later; in between, a late packet of the caller still reaches the
// server.
func TestHalfOpenFlow(t *testing.T) {
	g := newGroup()
	g.placers[g.first].handshakeTimeout = time.Second
	expire := func() {
		for part := range shardCount {
			g.engine(g.first).Expire(g.now, part)
			g.engine(g.second).Expire(g.now, part)
		}
	}
	for _, late := range []bool{true, false} {
		server := g.fromCaller(g.third, SYN, 7, 0).server
		g.fromServer(g.third, server, SYN|ACK, 8, 0)
		g.now += 2 * time.Second
		expire()
		assert.Equal(t, g.engine(g.first).Len(), 0)
		assert.Equal(t, g.placers[g.first].flows[server], 0)
		assert.Equal(t, g.engine(g.second).Len(), 1)
		if late {
			assert.Equal(t, g.fromCaller(g.third, ACK, 8, 10).server, server)
			assert.Equal(t, g.engine(g.first).Len(), 1)
			g.fromCaller(g.third, RST, 18, 0)
			g.now += 2 * closedTTL
			expire()
			continue
		}
		g.now += 2 * halfOpenTTL
		expire()
		assert.Equal(t, g.engine(g.second).Len(), 0)
	}
}

// concurrentPlacer blocks until Place has been called twice, then selects a
// different server for each call.
type concurrentPlacer struct {
	testPlacer
	mu      sync.Mutex
	placed  uint32
	barrier sync.WaitGroup
}

func (p *concurrentPlacer) Place(time.Duration, ID, Key, uint32) Placement {
	p.barrier.Done()
	p.barrier.Wait()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.placed++
	return Placement{Server: p.placed}
}

func (p *concurrentPlacer) Report(now time.Duration, r Report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.testPlacer.Report(now, r)
}

// TestConcurrentSYNs handles two copies of one SYN concurrently. Both must go to
// one server, and only one flow may be counted.
func TestConcurrentSYNs(t *testing.T) {
	p := &concurrentPlacer{testPlacer: testPlacer{flows: map[uint32]int{}}}
	p.barrier.Add(2)
	e := NewEngine(memberOf(0), p, Limits{})
	verdicts := make(chan Verdict, 2)
	for range 2 {
		go func() {
			verdicts <- e.Handle(Event{Now: time.Hour, ID: ID{Hi: 1, Lo: 2}, Key: Key{Proto: TCP}, Flags: SYN, Seq: 7})
		}()
	}
	first, second := <-verdicts, <-verdicts
	assert.Equal(t, first, second)
	assert.Equal(t, p.transitions[Opened], 1)
	assert.Equal(t, p.flows[first.Server], 1)
}
