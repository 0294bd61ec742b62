package lhstand

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// startFabric starts a fabric and a server, with relays in place of entry VMs.
func startFabric(t *testing.T, server *BackendServer, relays int) *Fabric {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	fabric := &Fabric{Seed: 1, CountPerFlow: true}
	assert.NilError(t, fabric.Start(ctx, loopback))
	assert.NilError(t, server.Start(ctx, loopback))
	done := []<-chan error{fabric.Done(), server.Done()}
	members := make([]netip.AddrPort, relays)
	for i := range members {
		r := &Relay{Fabric: fabric.Address(), Server: server.Address()}
		assert.NilError(t, r.Open(loopback, 1))
		done = append(done, r.Run(ctx))
		members[i] = r.Address()
	}
	fabric.SetMembers(members...)
	server.SetMembers(members...)
	t.Cleanup(func() {
		cancel()
		for _, ended := range done {
			assert.NilError(t, <-ended)
		}
	})
	return fabric
}

func callerAt(n int) netip.AddrPort {
	return netip.AddrPortFrom(caller.Addr(), uint16(10_000+n))
}

// TestRequestsWithPacketFaults checks that each request is executed exactly once
// while the fabric loses, duplicates or reorders packets.
func TestRequestsWithPacketFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
	}{
		{"none", Faults{}},
		{"loss", Faults{Loss: 0.03}},
		{"duplicate", Faults{Duplicate: 0.2}},
		{"reorder", Faults{Reorder: 0.2}},
		{"all", Faults{Loss: 0.02, Duplicate: 0.1, Reorder: 0.1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := &BackendServer{Name: "s1", Service: "cutdesk", Slots: 2}
			fabric := startFabric(t, server, 3)
			fabric.SetFaults(c.faults)
			var group sync.WaitGroup
			for n := range 10 {
				group.Go(func() { checkCaller(t, fabric, n) })
			}
			group.Wait()
			for id, runs := range server.AllExecutions() {
				assert.Equal(t, runs, 1, id)
			}
			assert.Equal(t, server.Counts().Finished, 20)
		})
	}
}

// checkCaller sends two requests on one connection. It runs in its own goroutine and
// therefore uses assert.Check, which does not call FailNow.
func checkCaller(t *testing.T, fabric *Fabric, n int) {
	conn, err := fabric.Dial(context.Background(), callerAt(n), service)
	if !assert.Check(t, err == nil, "dial: %v", err) {
		return
	}
	for i := range 2 {
		reply, err := Request{ID: fmt.Sprintf("r%d-%d", n, i), Bytes: 20_000}.Do(conn)
		assert.Check(t, err == nil, "request: %v", err)
		assert.Check(t, reply == Reply{Service: "cutdesk", Server: "s1"})
	}
	assert.Check(t, conn.Close() == nil)
	assert.Check(t, conn.Wait() == Completed, "%v", conn.Outcome())
	assert.Check(t, len(fabric.PacketsByVM(conn.Key())) >= 2)
}

func TestPortReuse(t *testing.T) {
	server := &BackendServer{Name: "s1", Service: "cutdesk"}
	fabric := startFabric(t, server, 1)
	for range 3 {
		conn, err := fabric.Dial(context.Background(), caller, service)
		assert.NilError(t, err)
		assert.NilError(t, conn.Close())
		assert.Equal(t, conn.Wait(), Completed)
		conn.discard()
	}
	assert.Equal(t, server.Counts().Accepted, 3)
}

func TestOutcomes(t *testing.T) {
	server := &BackendServer{Name: "s1", Service: "cutdesk"}
	fabric := startFabric(t, server, 2)
	open, err := fabric.Dial(context.Background(), callerAt(1), service)
	assert.NilError(t, err)
	server.UpdateBehavior(func(b *Behavior) { b.RefuseConnections = true })
	_, err = fabric.Dial(context.Background(), callerAt(2), service)
	assert.ErrorIs(t, err, Refused)
	_, err = Request{ID: "kept", Bytes: 10}.Do(open)
	assert.NilError(t, err, "a refusing server must keep its connections")
	server.Restart()
	_, err = Request{ID: "lost", Bytes: 10}.Do(open)
	assert.ErrorIs(t, err, Reset)
	assert.Equal(t, server.Executions("lost"), 0)

	server.UpdateBehavior(func(b *Behavior) { *b = Behavior{DropPackets: true} })
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = fabric.Dial(ctx, callerAt(3), service)
	assert.ErrorIs(t, err, Canceled)
}

// TestAbortCancelsRequest guards against a server that keeps executing a request
// after its caller has reset the connection.
func TestAbortCancelsRequest(t *testing.T) {
	server := &BackendServer{Name: "s1", Service: "cutdesk", Slots: 1}
	fabric := startFabric(t, server, 2)
	server.UpdateBehavior(func(b *Behavior) { b.ServiceTime = time.Hour })
	conn, err := fabric.Dial(context.Background(), caller, service)
	assert.NilError(t, err)
	assert.NilError(t, Request{ID: "r1"}.Send(conn))
	waitFor(t, "started", func() bool { return server.Executions("r1") == 1 })
	conn.Abort()
	waitFor(t, "canceled", func() bool { return server.Counts().Canceled == 1 })
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("not %s", what)
	})
}

func TestFeed(t *testing.T) {
	server := &BackendServer{Name: "s1", Service: "cutdesk"}
	fabric := startFabric(t, server, 2)
	conn, err := fabric.Dial(context.Background(), caller, service)
	assert.NilError(t, err)
	r := Request{ID: "feed", Lines: 5, Interval: time.Millisecond}
	assert.NilError(t, r.Send(conn))
	_, err = r.Receive(bufio.NewReader(conn))
	assert.NilError(t, err)
}

func TestDatagrams(t *testing.T) {
	server := &BackendServer{Name: "s1", Service: "cutdesk"}
	fabric := startFabric(t, server, 2)
	data, err := fabric.ExchangeDatagram(context.Background(), caller, service, []byte("hello"))
	assert.NilError(t, err)
	assert.Equal(t, string(data), "cutdesk s1 hello\n")
	fabric.SetMembers()
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err = fabric.ExchangeDatagram(ctx, caller, service, nil)
	assert.ErrorIs(t, err, TimedOut)
	assert.Equal(t, len(fabric.PacketsByVM(lhflow.NewKey(lhflow.UDP, caller, service))), 1)
}

func TestReportModes(t *testing.T) {
	cases := []struct {
		mode ReportMode
		want Report
		ok   bool
	}{
		{ReportTrue, Report{Slots: 2, Busy: 1}, true},
		{ReportInverted, Report{Slots: 2, Busy: 1}, true},
		{ReportZero, Report{Slots: 2}, true},
		{ReportFrozen, Report{Slots: 2, Busy: 1}, true},
		{ReportDown, Report{}, false},
	}
	for _, c := range cases {
		server := &BackendServer{Slots: 2, slots: make(chan struct{}, 2)}
		server.slots <- struct{}{}
		server.UpdateBehavior(func(b *Behavior) { b.ReportMode = c.mode })
		got := httptest.NewRecorder()
		server.ServeHTTP(got, nil)
		var report Report
		assert.Equal(t, json.NewDecoder(got.Body).Decode(&report) == nil, c.ok)
		assert.Equal(t, report, c.want)
	}
}
