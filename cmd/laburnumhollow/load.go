package main

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhdemo"
	"github.com/spf13/cobra"
)

// Defaults of the flags of load.
const (
	loadFlows       = 500
	loadRate        = 200 // flows per second
	loadSpan        = 6 * time.Second
	loadHold        = time.Second
	loadBytes       = 2000
	loadWork        = 5 * time.Millisecond
	loadSlots       = 2
	loadServers     = 4
	loadServices    = 2
	loadVMs         = 3
	loadDataCentres = 3
)

// loadFlags holds the flags of the load command.
type loadFlags struct {
	experiment   lhdemo.Experiment
	pattern      string
	floodPattern string
	events       []string
	report       string
	verbose      bool
}

func newLoadCommand(p *printer) *cobra.Command {
	var flags loadFlags
	c := &cobra.Command{
		Use:   "load",
		Short: "Run a load against a fleet in one process with faults and changes",
		Long: fmt.Sprintf(`Run a load against a fleet in one process with faults and changes.

The fleet consists of entry VMs on loopback with a simulated platform, fabric and
backend servers; no load reaches anything outside this process. Services are named
service1, service2 and so on, their servers service1-1, service1-2, and VMs vm1,
vm2. The patterns are %s.

An event changes the fleet while the load runs; its forms are
%s.
A flood is a second load of another kind of work on service1, during the second
third of the span; the first kind then has a share of 60%% and the flood one of 20%%.

Limits: %d flows, %d flows per second, a span of %v, 16 VMs, 8 services
with 32 servers each. With the default flags, a run takes less than 10 seconds. The
exit code is not 0 if a flow breaks or a request is executed more than once; a
refused flow does not count as broken.`,
			lhdemo.PatternNames(), lhdemo.EventSyntax, lhdemo.MaxFlows, lhdemo.MaxRate, lhdemo.MaxSpan),
		Example: `  laburnumhollow load --pattern feed --flows 50 --hold 4s --at "1s drain service1-1" --at "2s stop vm1"
  laburnumhollow load --services 1 --work 50ms --rate 64 --flows 384 --flood 10 --report flood.html`,
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := flags.parse(); err != nil {
				return err
			}
			flags.experiment.Log = p.vmLoggers(flags.verbose)
			report, err := flags.experiment.Run(cmd.Context())
			if len(report.Flows) == 0 {
				return err
			}
			if outputErr := p.printResult(report, report.WriteText); outputErr != nil {
				return outputErr
			}
			if outputErr := writeReport(flags.report, &report); outputErr != nil {
				return outputErr
			}
			return err
		},
	}
	flags.addFlags(c)
	return c
}

func (f *loadFlags) addFlags(c *cobra.Command) {
	x, l, flags := &f.experiment, &f.experiment.Layout, c.Flags()
	flags.StringVar(&f.pattern, "pattern", lhdemo.PatternRequest.String(), "behavior of a flow: "+lhdemo.PatternNames())
	flags.IntVar(&x.Flows, "flows", loadFlows, "total number of flows")
	flags.Float64Var(&x.Rate, "rate", loadRate, "flows opened per second")
	flags.DurationVar(&x.Span, "span", loadSpan, "maximum time during which flows are opened")
	flags.DurationVar(&x.Hold, "hold", loadHold, "idle time of a flow with pattern hold, and duration of a feed")
	flags.IntVar(&x.Bytes, "bytes", loadBytes, "size of a response in bytes")
	flags.IntVar(&l.VMs, "vms", loadVMs, "number of entry VMs")
	flags.IntVar(&l.DataCentres, "datacentres", loadDataCentres, "number of data centres over which VMs and servers are distributed")
	flags.IntVar(&l.Services, "services", loadServices, "number of services")
	flags.IntVar(&l.Servers, "servers", loadServers, "number of backend servers of each service")
	flags.IntVar(&l.Slots, "slots", loadSlots, "number of requests that a server executes concurrently")
	flags.DurationVar(&l.Work, "work", loadWork, "time for which a request occupies its slot")
	flags.StringVar((*string)(&l.Reports), "reports", "", "behavior of the servers' load reports: true, frozen, zero, inverted or down; empty disables them")
	flags.Uint64Var(&l.Seed, "seed", 1, "seed for the random choice of a VM for each packet and for faults")
	flags.Float64Var(&x.Faults.Loss, "loss", 0, "fraction of packets that are lost, from 0 to 1")
	flags.Float64Var(&x.Faults.Duplicate, "duplicates", 0, "fraction of packets that are duplicated, from 0 to 1")
	flags.Float64Var(&x.Faults.Reorder, "reorder", 0, "fraction of packets that are delivered after the next one, from 0 to 1")
	flags.StringArrayVar(&f.events, "at", nil, "event; may be repeated, in order of time")
	flags.Float64Var(&x.Flood.Factor, "flood", 0, "rate of a flood of service1, as a multiple of its capacity; 0 disables the flood")
	flags.BoolVar(&x.Flood.Urgent, "urgent", false, "give the flood a higher urgency than the first kind, instead of a lower one")
	flags.StringVar(&f.floodPattern, "flood-pattern", lhdemo.PatternRequest.String(), "behavior of a flow of the flood: "+lhdemo.PatternNames())
	flags.BoolVar(&x.Flood.NoKinds, "no-kinds", false, "declare no kinds of work, to show the effect of a flood without shares")
	flags.StringVar(&f.report, "report", "", "file for a report with charts; its name must end in .html or .svg")
	addVerboseFlag(c, &f.verbose)
}

// parse parses and validates the flags that are given as text.
func (f *loadFlags) parse() error {
	var err error
	if f.experiment.Pattern, err = lhdemo.ParsePattern(f.pattern); err != nil {
		return err
	}
	if f.experiment.Flood.Pattern, err = lhdemo.ParsePattern(f.floodPattern); err != nil {
		return err
	}
	for _, text := range f.events {
		event, err := lhdemo.ParseEvent(text)
		if err != nil {
			return err
		}
		f.experiment.Events = append(f.experiment.Events, event)
	}
	faults := f.experiment.Faults
	for _, part := range []float64{faults.Loss, faults.Duplicate, faults.Reorder} {
		if part < 0 || part > 1 {
			return lhcode.Newf(lhcode.Usage, "%v is not a fraction between 0 and 1", part)
		}
	}
	if f.report != "" && !isHTML(f.report) && !strings.HasSuffix(f.report, ".svg") {
		return lhcode.Newf(lhcode.Usage, "report file %q must end in .html or .svg", f.report)
	}
	return nil
}

func isHTML(path string) bool { return strings.HasSuffix(path, ".html") }

// writeReport writes the report with charts to a file. It does nothing if path is empty.
func writeReport(path string, r *lhdemo.Report) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return lhcode.Wrap(lhcode.FileUnreadable, err, "write the report")
	}
	err = renderReport(file, path, r)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return lhcode.Wrap(lhcode.FileUnreadable, err, "write the report")
}

func renderReport(w io.Writer, path string, r *lhdemo.Report) error {
	if isHTML(path) {
		return r.WriteHTML(w)
	}
	return r.WriteSVG(w)
}
