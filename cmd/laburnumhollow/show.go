package main

import (
	"context"
	"fmt"
	"io"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
	"github.com/spf13/cobra"
)

// showResult is the configuration in force and the VMs' status.
type showResult struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// Apply is the ID of the change that created the revision.
	Apply  string        `json:"apply"`
	Config lhconf.Config `json:"config"`
	VMs    []vmStatus    `json:"vms"`
	// Current is the number of VMs that have exactly this revision in force.
	Current int `json:"current"`
}

func newShowCommand(p *printer) *cobra.Command {
	var pl platform
	c := &cobra.Command{
		Use:   "show --platform URL",
		Short: "Show the configuration in force and the revision of each VM",
		Long: `Show the configuration that was accepted last, and the revision that each VM has
in force. The VMs are those on the platform's list, which may be out of date, or
those given by --vm. If the platform does not respond, only the VMs given by --vm
are shown.`,
		Example: "  laburnumhollow show --platform http://10.40.0.9:8500 -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := show(cmd.Context(), &pl)
			if err != nil && len(result.VMs) == 0 {
				return err
			}
			if printErr := p.printResult(result, func(w io.Writer) { writeShow(w, result) }); printErr != nil {
				return printErr
			}
			return err
		},
	}
	pl.addFlags(c)
	return c
}

// show queries the platform and the VMs. On an error it also returns the partial result.
func show(ctx context.Context, pl *platform) (showResult, error) {
	var r showResult
	inForce, err := lhstore.Open(ctx, pl.store())
	if err == nil {
		r.Revision, r.Digest, r.Apply = inForce.Position().Revision, formatDigest(inForce.Position()), inForce.ChangeID()
		r.Config = inForce.Config()
	}
	addresses, addrErr := pl.addresses(ctx)
	if err == nil {
		err = addrErr
	}
	r.VMs = pl.ops.fetchStatuses(ctx, addresses)
	for _, vm := range r.VMs {
		if vm.Status != nil && r.Revision > 0 && reportedPosition(vm) == inForce.Position() {
			r.Current++
		}
	}
	return r, err
}

func writeShow(w io.Writer, r showResult) {
	if r.Revision > 0 {
		fmt.Fprintf(w, "revision %d %s, created by change %s\n", r.Revision, r.Digest, r.Apply)
		writeConfig(w, r.Config)
	}
	if r.Revision > 0 {
		fmt.Fprintf(w, "\nin force on %d of %d VMs\n", r.Current, len(r.VMs))
	}
	if len(r.VMs) > 0 {
		writeStatus(w, r.VMs)
	}
}

func writeConfig(w io.Writer, c lhconf.Config) {
	fmt.Fprint(w, "\nservice\taddress\tproto\n")
	for _, s := range c.Services {
		fmt.Fprintf(w, "%s\t%v\t%v\n", s.Name, s.Address, s.Proto)
	}
	fmt.Fprint(w, "\nserver\tnumber\tservice\tdata centre\taddress\tweight\tslots\tflows\tstate\n")
	evacuated := make(map[string]bool)
	for _, d := range c.DataCentres {
		evacuated[d.Name] = d.Evacuated
	}
	for _, s := range c.Servers {
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%v\t%d\t%d\t%d\t%s\n", s.Name, s.Number, s.Service, s.DataCentre, s.Address, s.Weight, s.Slots, s.Flows,
			formatServerState(s.State, evacuated[s.DataCentre]))
	}
	fmt.Fprint(w, "\nkind\tservice\tcallers\turgency\tshare\tflows\n")
	for _, k := range c.Kinds {
		callers := "all"
		if k.Callers.IsValid() {
			callers = k.Callers.String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d%%\t%d\n", k.Name, k.Service, callers, k.Urgency, k.Share, k.Flows)
	}
}
