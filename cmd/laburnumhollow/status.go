package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/spf13/cobra"
)

// vmStatus is the status of one entry process, or the error of the request for it.
type vmStatus struct {
	Address string        `json:"address"`
	Status  *lhops.Status `json:"status,omitempty"`
	Code    lhcode.Code   `json:"code"`
	Text    string        `json:"text,omitempty"`
}

func newStatusCommand(p *printer) *cobra.Command {
	var o opsClient
	c := &cobra.Command{
		Use:   "status ADDRESS...",
		Short: "Show the status of entry processes",
		Long: `Show the status of entry processes, one line for each.

ADDRESS is the address listen.ops in a VM's settings. The exit code is not 0 if a
process is not serving or does not respond.`,
		Example: "  laburnumhollow status 10.40.1.11:7002 10.40.2.11:7002 10.40.3.11:7002",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			all := o.fetchStatuses(cmd.Context(), args)
			if err := p.printResult(all, func(w io.Writer) { writeStatus(w, all) }); err != nil {
				return err
			}
			return checkServing(all)
		},
	}
	o.addFlags(c)
	return c
}

// maxConcurrentRequests limits the number of concurrent status requests.
const maxConcurrentRequests = 64

// fetchStatuses requests the status of all processes concurrently.
func (o *opsClient) fetchStatuses(ctx context.Context, addresses []string) []vmStatus {
	all := make([]vmStatus, len(addresses))
	var wg sync.WaitGroup
	running := make(chan struct{}, maxConcurrentRequests)
	for i, address := range addresses {
		running <- struct{}{}
		wg.Go(func() {
			all[i] = o.fetchStatus(ctx, address)
			<-running
		})
	}
	wg.Wait()
	return all
}

func (o *opsClient) fetchStatus(ctx context.Context, address string) vmStatus {
	client, err := o.service(address)
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
	fmt.Fprint(w, "address\tvm\tdata centre\trevision\tmembers\tflows\tto hand over\tevacuated\tpeers\tstate\n")
	for _, vm := range all {
		if vm.Status == nil {
			fmt.Fprintf(w, "%s\t-\t-\t-\t-\t-\t-\t-\t-\t%s\n", vm.Address, vm.Text)
			continue
		}
		s := vm.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%d %s\t%d\t%d\t%d\t%s\t%s\t%s\n",
			vm.Address, s.VM, s.DataCentre, s.Revision, s.Digest, s.Members, s.Flows, s.Pending,
			formatEvacuated(s.Evacuated), formatAuthentication(s.Authenticated), formatHealth(s.Health))
	}
}

// formatEvacuated lists evacuated data centres.
func formatEvacuated(dataCentres []string) string {
	if len(dataCentres) == 0 {
		return "-"
	}
	return strings.Join(dataCentres, ", ")
}

// checkServing returns an error if any process did not answer or is not serving.
func checkServing(all []vmStatus) error {
	unreachable, notServing := 0, 0
	for _, vm := range all {
		switch {
		case vm.Status == nil:
			unreachable++
		case !vm.Status.Health.Ready():
			notServing++
		}
	}
	switch {
	case unreachable > 0:
		return lhcode.Newf(lhcode.Unreachable, "%d of %d VMs did not answer", unreachable, len(all))
	case notServing > 0:
		return lhcode.Newf(lhcode.NotServing, "%d of %d VMs are not serving", notServing, len(all))
	}
	return nil
}
