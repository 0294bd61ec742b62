package lhspread

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhstore"
)

// running is a Node that is served at a loopback port.
type running struct {
	*Node
	server *http.Server
	member Member
}

func start(t *testing.T, name, dataCentre string) *running {
	t.Helper()
	return startWith(t, name, dataCentre, nil, nil)
}

// startWith starts a Node that may ask contacts and gives others what state returns.
func startWith(t *testing.T, name, dataCentre string, contacts []netip.AddrPort, state func() lhstore.News) *running {
	t.Helper()
	n := NewNode(name, contacts, state, zerolog.Nop())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &running{Node: n, server: &http.Server{Handler: n.Handler()}}
	r.member = Member{Name: name, DataCentre: dataCentre, Control: l.Addr().(*net.TCPAddr).AddrPort()}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = r.server.Serve(l)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	ended := n.Run(ctx)
	t.Cleanup(func() {
		cancel()
		<-ended
		_ = r.server.Close()
		<-served
	})
	return r
}

// TestNodesTell checks with sockets that news reach all VMs of two data centres, also
// while one of them is gone.
func TestNodesTell(t *testing.T) {
	var nodes []*running
	var members []Member
	for i := range 12 {
		r := start(t, fmt.Sprintf("vm-%d", i), fmt.Sprintf("dc-%d", i%2))
		nodes = append(nodes, r)
		members = append(members, r.member)
	}
	for _, n := range nodes {
		n.SetMembers(members)
	}
	news := lhstore.News{After: 3, Revision: 5, Items: []lhstore.Item{
		{Key: "a", Data: []byte("x"), Revision: 4}, {Key: "b", Revision: 5, Deleted: true},
	}}
	gone := nodes[1]
	assert.NilError(t, gone.server.Close())
	nodes[0].Tell(news)
	for _, n := range nodes[2:] {
		got := <-n.Heard()
		assert.Assert(t, got.Age < time.Minute)
		got.Age = 0
		assert.DeepEqual(t, got, news)
	}
	assert.Equal(t, len(nodes[0].Heard()), 0, "the reader is not told")
}

// TestNodeDropsWhatFindsNoRoom checks that a VM whose news are not taken goes on.
func TestNodeDropsWhatFindsNoRoom(t *testing.T) {
	n := NewNode("a", nil, nil, zerolog.Nop())
	n.SetMembers([]Member{{Name: "b", DataCentre: "d", Control: netip.MustParseAddrPort("127.0.0.1:1")}, {Name: "a"}})
	for range waiting + 5 {
		n.Tell(lhstore.News{})
	}
	assert.Equal(t, n.Counters()["news_dropped"], uint64(5))
}
