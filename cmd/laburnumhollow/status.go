package main

import (
	"context"
	"fmt"
	"io"
	"sync"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/spf13/cobra"
)

// vmStatus is the answer of one entry process, or why there is none.
type vmStatus struct {
	Address string        `json:"address"`
	Status  *lhops.Status `json:"status,omitempty"`
	Code    lhcode.Code   `json:"code"`
	Text    string        `json:"text,omitempty"`
}

func newStatusCommand(p *printer) *cobra.Command {
	var o operator
	c := &cobra.Command{
		Use:   "status ADDRESS...",
		Short: "Show at a glance where entry processes stand",
		Long: `Show at a glance where entry processes stand, one line for each.

ADDRESS is the listen.ops address of a VM's settings. The exit code is not 0 where
a process does not serve or gives no answer.`,
		Example: "  laburnumhollow status 10.40.1.11:7002 10.40.2.11:7002 10.40.3.11:7002",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			all := o.askStatus(cmd.Context(), args)
			if err := p.result(all, func(w io.Writer) { writeStatus(w, all) }); err != nil {
				return err
			}
			return notServing(all)
		},
	}
	o.addTo(c)
	return c
}

// maxConcurrent bounds the processes that are asked at the same time.
const maxConcurrent = 64

// askStatus asks all processes, many at the same time.
func (o *operator) askStatus(ctx context.Context, addresses []string) []vmStatus {
	all := make([]vmStatus, len(addresses))
	var wg sync.WaitGroup
	running := make(chan struct{}, maxConcurrent)
	for i, address := range addresses {
		running <- struct{}{}
		wg.Go(func() {
			all[i] = o.askOne(ctx, address)
			<-running
		})
	}
	wg.Wait()
	return all
}

func (o *operator) askOne(ctx context.Context, address string) vmStatus {
	client, err := o.ask(address)
	if err != nil {
		return vmStatus{Address: address, Code: lhcode.Of(err), Text: err.Error()}
	}
	st, err := client.Status(ctx)
	if err != nil {
		return vmStatus{Address: address, Code: lhcode.Of(err), Text: err.Error()}
	}
	return vmStatus{Address: address, Status: &st}
}

func writeStatus(w io.Writer, all []vmStatus) {
	fmt.Fprint(w, "address\tvm\tdata centre\trevision\tmembers\tflows\tto hand over\tpeers\tstate\n")
	for _, vm := range all {
		if vm.Status == nil {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\t-\t-\t%s\n", vm.Address, vm.Text)
			continue
		}
		s := vm.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%d %s\t%d\t%d\t%d\t%s\t%s\n",
			vm.Address, s.VM, s.DataCentre, s.Revision, s.Digest, s.Members, s.Flows, s.Pending, peersText(s.Authenticated), stateText(s.Health))
	}
}

// notServing returns an error where a process gave no answer or does not serve.
func notServing(all []vmStatus) error {
	silent, idle := 0, 0
	for _, vm := range all {
		switch {
		case vm.Status == nil:
			silent++
		case !vm.Status.Health.Ready():
			idle++
		}
	}
	switch {
	case silent > 0:
		return lhcode.Newf(lhcode.Unreachable, "VMs without an answer: %d of %d", silent, len(all))
	case idle > 0:
		return lhcode.Newf(lhcode.NotServing, "VMs that do not serve: %d of %d", idle, len(all))
	}
	return nil
}
