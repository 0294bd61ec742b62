package main

import (
	"fmt"
	"net/netip"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// TestWholePath opens flows to two services through three entry processes. Packets of
// each flow must pass through at least two of them, and each answer must arrive complete
// from the right service.
func TestWholePath(t *testing.T) {
	f := newFleet(t, "sapporo-a", "sapporo-b", "ebetsu")
	for i := range 20 {
		service, address := "cutdesk", cutdesk
		if i%2 == 1 {
			service, address = "proofbox", proofbox
		}
		c := f.dial(address)
		server := f.ask(c, fmt.Sprint("order-", i, "-a"), service)
		assert.Equal(t, f.ask(c, fmt.Sprint("order-", i, "-b"), service), server)
		assert.Assert(t, len(f.fabric.PacketsByVM(c.Key())) >= 2)
		assert.NilError(t, c.Close())
		assert.Equal(t, c.Wait(), lhstand.Completed)
	}
	f.assertRunOnce()
}

// TestOtherProtocols opens TCP flows over IPv6 and exchanges UDP datagrams, with services
// that are added while the fleet runs.
func TestOtherProtocols(t *testing.T) {
	f := newFleet(t, "sapporo-a", "ebetsu")
	caller6 := netip.MustParseAddrPort("[2001:db8::7]:40000")
	sheets, clock := netip.MustParseAddrPort("[2001:db8:1::1]:80"), netip.MustParseAddrPort("10.9.0.3:123")
	f.writeConfig("11-services.ini", fmt.Sprintf(
		"[service sheets]\naddress = %v\nproto = tcp\n\n[service clock]\naddress = %v\nproto = udp\n", sheets, clock))
	f.addServer(t.Context(), "sheets", 7, "ebetsu")
	f.addServer(t.Context(), "clock", 8, "sapporo-a")
	f.apply()
	f.awaitRevision(2)
	f.route(f.vms...)

	c, err := f.fabric.Dial(t.Context(), caller6, sheets)
	assert.NilError(t, err)
	f.ask(c, "sheet-1", "sheets")
	assert.NilError(t, c.Close())
	assert.Equal(t, c.Wait(), lhstand.Completed)
	for i := range 10 {
		caller := netip.AddrPortFrom(netip.MustParseAddr("192.0.2.9"), uint16(50000+i))
		answer, err := f.fabric.ExchangeDatagram(t.Context(), caller, clock, []byte("now?"))
		assert.NilError(t, err)
		assert.Equal(t, string(answer), "clock clock-8 now?\n")
	}
	_, err = f.open("10.9.0.9:80")
	assert.ErrorIs(t, err, lhstand.Refused, "undeclared service")
}

// TestLossyNetwork drops, duplicates and reorders packets between fabric, VMs and backend
// servers. Every answer must be complete and in order, and no request may run twice.
func TestLossyNetwork(t *testing.T) {
	f := newFleet(t, "sapporo-a", "sapporo-b", "ebetsu")
	faults := lhstand.Faults{Loss: 0.02, Duplicate: 0.05, Reorder: 0.1}
	f.fabric.SetFaults(faults)
	for _, s := range f.servers {
		s.SetFaults(faults)
	}
	for i := range 30 {
		c := f.dial(cutdesk)
		f.ask(c, fmt.Sprint("lossy-", i), "cutdesk")
	}
	f.assertRunOnce()
}

// TestSecondSignal checks that a second SIGTERM ends a planned stop immediately.
func TestSecondSignal(t *testing.T) {
	f := newFleet(t, "sapporo-a", "ebetsu")
	p := f.vms[0]
	f.openFeed("feed")
	f.signal(p, syscall.SIGTERM)
	// Packets keep arriving, so that the VM would forward until its stop timeout.
	f.awaitDump(p, "leaving", func(d lhops.Dump) bool { return d.Health.State == lhops.Leaving })
	f.signal(p, syscall.SIGTERM)
	assert.NilError(t, f.awaitExit(p))
}
