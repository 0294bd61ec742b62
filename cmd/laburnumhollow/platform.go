package main

import (
	"context"
	"crypto/rand"
	"net/netip"
	"strconv"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
	"github.com/spf13/cobra"
)

const (
	// defaultOpsPort is the port of listen.ops in the example settings.
	defaultOpsPort = 7002
	// maxRevisionQueries limits how many VMs are queried for their revision before a
	// change.
	maxRevisionQueries = 32
)

// platform gives access to the platform's key-value service and to the VMs that it
// lists. Command flags set its fields.
type platform struct {
	url string
	// vms are operations API addresses that replace the platform's list.
	vms []string
	// port is the operations API port of each VM on the platform's list.
	port uint16
	// ops queries the VMs.
	ops opsClient
	// unguarded skips the comparison with the revisions of the VMs before a change.
	unguarded bool
}

// addFlags adds the flags that select the platform and its VMs.
func (pl *platform) addFlags(c *cobra.Command) {
	c.Flags().StringVar(&pl.url, "platform", "", "URL of the platform's key-value service")
	c.Flags().StringSliceVar(&pl.vms, "vm", nil, "operations API addresses of VMs, instead of the platform's list")
	c.Flags().Uint16Var(&pl.port, "port", defaultOpsPort, "operations API port of the VMs on the platform's list")
	pl.ops.addFlags(c)
	requireFlag(c, "platform")
}

// addUnguardedFlag adds the flag that skips the check of the VMs' revisions.
func (pl *platform) addUnguardedFlag(c *cobra.Command) {
	c.Flags().BoolVar(&pl.unguarded, "unguarded", false, "skip the check that no VM has a later revision than the platform")
}

// requireFlag marks a flag as required. It panics if the flag is not declared.
func requireFlag(c *cobra.Command, flag string) {
	if err := c.MarkFlagRequired(flag); err != nil {
		panic(err)
	}
}

// store returns a client of the key-value service.
func (pl *platform) store() *lhstore.Client { return lhstore.NewClient(pl.url, nil) }

// apply commits a change to the configuration in force. Unless unguarded is set, it
// first checks that no VM has a later revision than the platform.
func (pl *platform) apply(ctx context.Context, change lhstore.Change) (lhstore.Result, error) {
	var fleet lhstore.Fleet
	if !pl.unguarded {
		fleet = pl
	}
	if change.ID == "" {
		change.ID = rand.Text()
	}
	return lhstore.NewApplier(pl.store(), lhconf.Check, lhconf.AssignNumbers, fleet).Apply(ctx, change)
}

// addresses returns the operations API addresses of the VMs.
func (pl *platform) addresses(ctx context.Context) ([]string, error) {
	if len(pl.vms) > 0 {
		return pl.vms, nil
	}
	vms, err := pl.store().VMs(ctx)
	if err != nil {
		return nil, err
	}
	addresses := make([]string, len(vms))
	for i, vm := range vms {
		addresses[i] = netip.AddrPortFrom(vm.Control.Addr(), pl.port).String()
	}
	return addresses, nil
}

// Highest implements lhstore.Fleet. It returns the highest position that any queried VM
// reports. In a large fleet it queries an evenly spaced sample of the list.
func (pl *platform) Highest(ctx context.Context) (lhstore.Position, error) {
	addresses, err := pl.addresses(ctx)
	if err != nil || len(addresses) == 0 {
		return lhstore.Position{}, err
	}
	var highest lhstore.Position
	answered := 0
	for _, vm := range pl.ops.fetchStatuses(ctx, sampleEvenly(addresses, maxRevisionQueries)) {
		if vm.Status == nil {
			continue
		}
		answered++
		if position := reportedPosition(vm); position.Newer(highest) {
			highest = position
		}
	}
	if answered == 0 {
		return highest, lhcode.Newf(lhcode.Unreachable, "none of %d VMs answered; see --vm, --port and --unguarded", len(addresses))
	}
	return highest, nil
}

// reportedPosition returns the position in the revision chain that a VM reports.
func reportedPosition(vm vmStatus) lhstore.Position {
	const hexadecimal = 16
	// The digest is empty, and parsed as 0, while a VM has no configuration.
	digest, _ := strconv.ParseUint(vm.Status.Digest, hexadecimal, 64)
	return lhstore.Position{Revision: vm.Status.Revision, Digest: digest}
}

// sampleEvenly returns at most limit evenly spaced elements of a list.
func sampleEvenly(list []string, limit int) []string {
	if len(list) <= limit {
		return list
	}
	chosen := make([]string, limit)
	for i := range chosen {
		chosen[i] = list[i*len(list)/limit]
	}
	return chosen
}
