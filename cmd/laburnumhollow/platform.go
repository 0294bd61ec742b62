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
	// maxAsked bounds the VMs that are asked for their revision before a change.
	maxAsked = 32
)

// platform is the platform's key-value service and the VMs that it lists, as the
// flags of a command name them.
type platform struct {
	url string
	// vms are operators' addresses given in place of the platform's list.
	vms []string
	// port is the operators' port of each VM on the list.
	port uint16
	// operator asks the VMs.
	operator operator
	// unguarded lets a change pass without asking the VMs for their revision.
	unguarded bool
}

// addTo adds the flags that name the platform.
func (pl *platform) addTo(c *cobra.Command) {
	c.Flags().StringVar(&pl.url, "platform", "", "URL of the platform's key-value service")
	c.Flags().StringSliceVar(&pl.vms, "vm", nil, "operators' addresses of VMs, in place of the platform's list")
	c.Flags().Uint16Var(&pl.port, "port", defaultOpsPort, "operators' port of the VMs on the platform's list")
	pl.operator.addTo(c)
	require(c, "platform")
}

// addGuard adds the flag that lets a change pass unguarded.
func (pl *platform) addGuard(c *cobra.Command) {
	c.Flags().BoolVar(&pl.unguarded, "unguarded", false, "do not ask VMs whether they hold a later revision than the platform")
}

// require marks a flag as required.
func require(c *cobra.Command, flag string) {
	if err := c.MarkFlagRequired(flag); err != nil {
		panic(err) // the flag was not declared
	}
}

// store returns the client of the key-value service.
func (pl *platform) store() *lhstore.Client { return lhstore.NewClient(pl.url, nil) }

// apply brings a change into force.
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

// addresses returns the operators' addresses of the VMs.
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

// Highest implements lhstore.Fleet. Of a large fleet it asks VMs spread evenly
// over the list.
func (pl *platform) Highest(ctx context.Context) (lhstore.Position, error) {
	addresses, err := pl.addresses(ctx)
	if err != nil || len(addresses) == 0 {
		return lhstore.Position{}, err
	}
	var highest lhstore.Position
	answers := 0
	for _, vm := range pl.operator.askStatus(ctx, spread(addresses, maxAsked)) {
		if vm.Status == nil {
			continue
		}
		answers++
		if at := positionOf(vm); at.Newer(highest) {
			highest = at
		}
	}
	if answers == 0 {
		return highest, lhcode.Newf(lhcode.Unreachable, "none of %d VMs gave an answer; see --vm, --port and --unguarded", len(addresses))
	}
	return highest, nil
}

// positionOf returns the place in the chain of revisions that a VM reports.
func positionOf(vm vmStatus) lhstore.Position {
	const hexadecimal = 16
	// A VM without a configuration has no digest.
	digest, _ := strconv.ParseUint(vm.Status.Digest, hexadecimal, 64)
	return lhstore.Position{Revision: vm.Status.Revision, Digest: digest}
}

// spread returns at most limit entries of a list, evenly spaced.
func spread(list []string, limit int) []string {
	if len(list) <= limit {
		return list
	}
	chosen := make([]string, limit)
	for i := range chosen {
		chosen[i] = list[i*len(list)/limit]
	}
	return chosen
}
