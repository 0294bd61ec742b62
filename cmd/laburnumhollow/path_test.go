package main

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// TestWholePath opens flows to two services through three entry processes. Each
// flow crosses at least two of them, and each answer comes whole from the right
// service.
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
		assert.Assert(t, len(f.fabric.VMs(c.Key())) >= 2)
		assert.NilError(t, c.Close())
		assert.Equal(t, c.Wait(), lhstand.Whole)
	}
	f.assertRunOnce()
}
