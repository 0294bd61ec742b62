package main

import (
	"context"
	"fmt"
	"io"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
	"github.com/spf13/cobra"
)

// evacuationFileName returns the name of the file that evacuates a data centre. As that of a
// drain it is a separate file, which overrides the files of teams.
func evacuationFileName(dataCentre string) string { return "zz-evacuate-" + dataCentre + ".ini" }

// evacuationFileText returns the contents of the file that evacuates a data centre.
func evacuationFileText(dataCentre string) string {
	return fmt.Sprintf("# Written by laburnumhollow evacuate; evacuate --return removes it.\n[datacentre %s]\nstate = %s\n", dataCentre, lhconf.StateEvacuated)
}

func newEvacuateCommand(p *printer) *cobra.Command {
	var pl platform
	var takeBack bool
	c := &cobra.Command{
		Use:   "evacuate DATACENTRE --platform URL",
		Short: "Stop sending new flows to the backend servers of a data centre",
		Long: `Stop sending new flows to the backend servers of a data centre, also to those that
are declared there later. Their open flows continue until they end; status and dump
show how many are left. New flows get servers elsewhere; those of a service that has
none are refused at once. With --return the servers get new flows again.

The evacuation is stored in a separate file of the configuration in force, so that
it never conflicts with other changes.`,
		Example: "  laburnumhollow evacuate ebetsu --platform http://10.40.0.9:8500\n" +
			"  laburnumhollow evacuate --return ebetsu --platform http://10.40.0.9:8500",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			change := evacuate
			if takeBack {
				change = endEvacuation
			}
			result, err := change(cmd.Context(), &pl, args[0])
			if err != nil {
				return err
			}
			return p.printResult(result, func(w io.Writer) { writeApply(w, result) })
		},
	}
	pl.addFlags(c)
	pl.addUnguardedFlag(c)
	c.Flags().BoolVar(&takeBack, "return", false, "take the evacuation back")
	return c
}

// evacuate adds the file that evacuates a data centre to the configuration in force.
func evacuate(ctx context.Context, pl *platform, dataCentre string) (applyResult, error) {
	inForce, err := lhstore.Open(ctx, pl.store())
	if err != nil {
		return applyResult{}, err
	}
	config := inForce.Config()
	if !slices.ContainsFunc(config.Servers, func(s lhconf.BackendServer) bool { return s.DataCentre == dataCentre }) {
		return applyResult{}, lhcode.Newf(lhcode.NotFound, "no backend server in data centre %q in revision %d", dataCentre, inForce.Position().Revision)
	}
	file := lhstore.FileChange{FileText: lhstore.FileText{Name: evacuationFileName(dataCentre), Text: evacuationFileText(dataCentre)}}
	if text, ok := inForce.File(file.Name); ok {
		file.Base = lhstore.Hash(text)
	}
	return applyChange(ctx, pl, lhstore.Change{Files: []lhstore.FileChange{file}})
}

// endEvacuation removes the file that evacuates a data centre from the configuration in force.
func endEvacuation(ctx context.Context, pl *platform, dataCentre string) (applyResult, error) {
	inForce, err := lhstore.Open(ctx, pl.store())
	if err != nil {
		return applyResult{}, err
	}
	text, found := inForce.File(evacuationFileName(dataCentre))
	if !found {
		if err := checkNotEvacuated(&inForce, dataCentre); err != nil {
			return applyResult{}, err
		}
	}
	removal := lhstore.FileChange{
		FileText: lhstore.FileText{Name: evacuationFileName(dataCentre), Removed: true},
		Base:     lhstore.Hash(text),
	}
	return applyChange(ctx, pl, lhstore.Change{Files: []lhstore.FileChange{removal}})
}

// checkNotEvacuated returns an error if a file that operators edit evacuates a data centre.
func checkNotEvacuated(inForce *lhstore.Snapshot, dataCentre string) error {
	_, origins, _ := lhconf.Merge(inForce.Files())
	for _, v := range origins {
		if v.Section == "datacentre "+dataCentre && v.Key == "state" && v.Value == lhconf.StateEvacuated {
			return lhcode.Newf(lhcode.Conflict, "%s evacuates data centre %s; --return only removes files that evacuate wrote, so change the state there and apply it", v.Origin, dataCentre)
		}
	}
	return nil
}
