package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhops"
	"github.com/spf13/cobra"
)

func newDumpCommand(p *printer) *cobra.Command {
	var service string
	var o opsClient
	c := &cobra.Command{
		Use:   "dump ADDRESS",
		Short: "Show the state of one entry process",
		Long: `Show the state of one entry process: its members, flows by service and
backend server, admission decisions by kind of work, and counters.

ADDRESS is the address listen.ops in the VM's settings. The process limits the
number of entries that it lists and reports how many it omitted; --service lists
only those of one service.`,
		Example: "  laburnumhollow dump 10.40.1.11:7002\n  laburnumhollow dump 10.40.1.11:7002 --service cutdesk -o json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			client, err := o.service(args[0])
			if err != nil {
				return err
			}
			d, err := client.Dump(cmd.Context(), service)
			if err != nil {
				return err
			}
			return p.printResult(d, func(w io.Writer) { writeDump(w, d) })
		},
	}
	c.Flags().StringVar(&service, "service", "", "show only this service")
	o.addFlags(c)
	return c
}

func writeDump(w io.Writer, d lhops.Dump) {
	fmt.Fprintf(w, "vm\t%s\ndata centre\t%s\ngroup\t%s\nversion\t%s\n", d.VM, d.DataCentre, d.Group, d.Version)
	fmt.Fprintf(w, "state\t%s\nrevision\t%d %s\nview\t%d\n", formatHealth(d.Health), d.Revision, d.Digest, d.View)
	fmt.Fprintf(w, "peers\t%s\n", formatAuthentication(d.Authenticated))
	fmt.Fprintf(w, "flow table\t%d of %d flows, %d bytes; %d records to hand over\n", d.Table.Flows, d.Table.Limit, d.Table.Bytes, d.Table.Pending)
	writeMembers(w, d.Members)
	writeEvacuations(w, d.Evacuations)
	writeServers(w, d.Services)
	writePaces(w, d.Services)
	writeWork(w, d.Work)
	fmt.Fprint(w, "\ncounter\tvalue\n")
	for _, name := range slices.Sorted(maps.Keys(d.Counters)) {
		fmt.Fprintf(w, "%s\t%d\n", name, d.Counters[name])
	}
	if d.Omitted > 0 {
		fmt.Fprintf(w, "\nentries omitted: %d; see --service\n", d.Omitted)
	}
}

func writeMembers(w io.Writer, members []lhops.MemberState) {
	fmt.Fprint(w, "\nmember\tid\tdata centre\tstate\trevision\tlast heard\n")
	for _, m := range members {
		silent := time.Duration(m.Silent) * time.Millisecond
		fmt.Fprintf(w, "%s\t%v\t%s\t%v\t%d\t%v ago\n", m.Name, m.ID, m.DataCentre, m.State, m.Revision, silent)
	}
}

// writeEvacuations lists the evacuated data centres, if there are any.
func writeEvacuations(w io.Writer, evacuations []lhops.EvacuationState) {
	if len(evacuations) == 0 {
		return
	}
	fmt.Fprint(w, "\nevacuated data centre\trevision\tservers\tflows\n")
	for _, e := range evacuations {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\n", e.DataCentre, e.Revision, e.Servers, e.Flows)
	}
}

// formatServerState formats the state of a server in a data centre that may be evacuated.
func formatServerState(state lhconf.State, evacuated bool) string {
	if evacuated {
		return state.String() + ", evacuated"
	}
	return state.String()
}

func writeServers(w io.Writer, services []lhops.ServiceState) {
	fmt.Fprint(w, "\nservice\tserver\tnumber\tdata centre\tstate\tflows\tlimit\n")
	for _, s := range services {
		fmt.Fprintf(w, "%s\t%v %v\t\t\t\t%d\t\n", s.Name, s.Address, s.Proto, s.Flows)
		for _, server := range s.Servers {
			fmt.Fprintf(w, "\t%s\t%d\t%s\t%s\t%d\t%d\n", server.Name, server.Number, server.DataCentre,
				formatServerState(server.State, server.Evacuated), server.Flows, server.Limit)
		}
	}
}

// writePaces writes the servers whose new flows are limited because they are cold, if any.
func writePaces(w io.Writer, services []lhops.ServiceState) {
	header := "\nlimited server\tpace\tcold for\n"
	for _, s := range services {
		for _, server := range s.Servers {
			if server.Pace == 0 && server.Cold == 0 {
				continue
			}
			fmt.Fprintf(w, "%s%s\t%.2f\t%v\n", header, server.Name, server.Pace, time.Duration(server.Cold)*time.Millisecond)
			header = ""
		}
	}
}

func writeWork(w io.Writer, work []lhops.WorkState) {
	fmt.Fprint(w, "\nkind\tservice\tflows\tlimit\tadmitted\trefused\n")
	for _, k := range work {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\n", k.Kind, k.Service, k.Flows, k.Limit, k.Admitted, k.Refused)
	}
}

// formatHealth formats a state with its reason, if any.
func formatHealth(h lhops.Health) string {
	if h.Reason == "" {
		return h.State.String()
	}
	return h.State.String() + ": " + h.Reason
}

// formatAuthentication describes whether peers must authenticate as group members.
func formatAuthentication(authenticated bool) string {
	if authenticated {
		return "authenticated"
	}
	return "not authenticated"
}
