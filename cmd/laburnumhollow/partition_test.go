package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhentry"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// partition simulates a network partition between one data centre and the others,
// including the platform.
type partition struct {
	mu sync.Mutex
	// isolated is the set of IP addresses on the isolated side. It is nil while there is
	// no partition.
	isolated map[netip.Addr]bool
}

var errPartitioned = errors.New("network is unreachable")

// network returns the network of the VM at address self.
func (p *partition) network(self netip.Addr) lhentry.Network {
	separated := func(to netip.Addr) bool {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.isolated != nil && p.isolated[self] != p.isolated[to]
	}
	return lhentry.Network{
		Reachable: func(to netip.AddrPort) bool { return to.Addr() == fabricHost || !separated(to.Addr()) },
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			to := netip.MustParseAddrPort(address).Addr()
			if separated(to) {
				return nil, errPartitioned
			}
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &partitionedConn{Conn: conn, blocked: func() bool { return separated(to) }}, nil
		},
	}
}

func (p *partition) isolate(addrs map[netip.Addr]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isolated = addrs
}

// partitionedConn is a connection whose reads and writes fail while the partition
// separates its ends.
type partitionedConn struct {
	net.Conn
	blocked func() bool
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.blocked() {
		return 0, errPartitioned
	}
	return c.Conn.Write(b)
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.blocked() {
		return 0, errPartitioned
	}
	return n, err
}

var fabricHost = netip.MustParseAddrPort(fabricAddress).Addr()

// TestDataCentreCutOff partitions one of three data centres from the others and from the
// platform, changes the configuration on the majority side, and heals the partition.
// Each side must keep serving flows whose backend servers it reaches, and accept new
// ones.
func TestDataCentreCutOff(t *testing.T) {
	split := &partition{}
	f := startFleet(t, func(p *process) lhentry.Network {
		return split.network(netip.MustParseAddr("127.0.2." + p.name[len(p.name)-1:]))
	}, "sapporo-a", "sapporo-b", "ebetsu")
	open := f.openFeedAndConns(30)
	majority, minority := f.vms[:2], f.vms[2:]
	// Servers are assigned to the data centres in turn; cutdesk-3 and proofbox-6 are in
	// ebetsu.
	minorityServers := map[string]bool{"cutdesk-3": true, "proofbox-6": true}
	minorityAddrs := map[netip.Addr]bool{minority[0].data.Addr(): true}
	for name := range minorityServers {
		minorityAddrs[f.servers[name].Address().Addr()] = true
	}
	split.isolate(minorityAddrs)
	for name, s := range f.servers {
		s.SetMembers(dataAddresses(majority)...)
		if minorityServers[name] {
			s.SetMembers(dataAddresses(minority)...)
		}
	}
	f.awaitDump(majority[0], "without ebetsu", func(d lhops.Dump) bool { return len(d.Members) == 2 })
	f.awaitDump(majority[1], "without ebetsu", func(d lhops.Dump) bool { return len(d.Members) == 2 })
	f.awaitDump(minority[0], "alone", func(d lhops.Dump) bool { return len(d.Members) == 1 })

	f.fabric.SetMembers(dataAddresses(majority)...)
	f.askOpenConns(open, "majority", func(server string) bool { return !minorityServers[server] })
	f.openNewFlows("majority")
	f.writeConfig("30-kinds.ini", "[kind orders]\nservice = cutdesk\nurgency = 5\nshare = 60\n")
	f.apply()
	for _, p := range majority {
		f.awaitDump(p, "at revision 2", func(d lhops.Dump) bool { return d.Revision == 2 })
	}

	f.fabric.SetMembers(dataAddresses(minority)...)
	f.askOpenConns(open, "minority", func(server string) bool { return minorityServers[server] })
	f.openNewFlows("minority")
	d, err := minority[0].dump(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, d.Revision, uint64(1))

	split.isolate(nil)
	f.awaitReady()
	for _, p := range f.vms {
		f.awaitDump(p, "at revision 2", func(d lhops.Dump) bool { return d.Revision == 2 })
	}
	f.askOpenConns(open, "healed", func(string) bool { return true })
	f.assertRunOnce()
}

func dataAddresses(vms []*process) []netip.AddrPort {
	var list []netip.AddrPort
	for _, p := range vms {
		list = append(list, p.data)
	}
	return list
}

// askOpenConns sends a request on each open connection whose server is reachable.
func (f *fleet) askOpenConns(open *openConns, when string, reachable func(server string) bool) {
	f.t.Helper()
	for i, c := range open.conns {
		if reachable(open.replies[i].Server) {
			assert.Equal(f.t, f.ask(c, fmt.Sprint(when, "-", i), "cutdesk"), open.replies[i])
		}
	}
}

// openNewFlows opens flows. A caller that is refused may retry twice.
func (f *fleet) openNewFlows(when string) {
	f.t.Helper()
	for i := range 10 {
		var err error
		for try := range 3 {
			if err = f.request(fmt.Sprint(when, "-new-", i, "-", try)); err == nil {
				break
			}
			assert.Assert(f.t, strings.Contains(err.Error(), lhstand.Refused.String()), "%v", err)
		}
		assert.NilError(f.t, err)
	}
}
