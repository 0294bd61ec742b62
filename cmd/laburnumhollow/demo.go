package main

import (
	"github.com/laburnumhollow/laburnumhollow/lhdemo"
	"github.com/rs/zerolog"
	"github.com/spf13/cobra"
)

func newDemoCommand(p *printer) *cobra.Command {
	var verbose bool
	c := &cobra.Command{
		Use:   "demo",
		Short: "Run a complete fleet in one process and change it while flows are open",
		Long: `Run a complete fleet in one process and change it while flows are open.

Three entry VMs in three data centres forward the packets of two services, on
loopback and with a simulated platform, fabric and backend servers. A backend
server is drained, and a VM is stopped gracefully and replaced, while feeds, idle
flows and short flows are open. The demo ends within 20 seconds; the exit code is
not 0 if a flow does not complete or a request is executed more than once.`,
		Example: "  laburnumhollow demo -o json",
		Args:    cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			result, err := lhdemo.RunDemo(cmd.Context(), p.vmLoggers(verbose))
			if printErr := p.printResult(result, result.WriteText); printErr != nil {
				return printErr
			}
			return err
		},
	}
	addVerboseFlag(c, &verbose)
	return c
}

// addVerboseFlag adds the flag that prints the logs of the VMs in this process.
func addVerboseFlag(c *cobra.Command, verbose *bool) {
	c.Flags().BoolVarP(verbose, "verbose", "v", false, "write the logs of the VMs to standard error")
}

// vmLoggers returns a function that creates the logger of a VM in this process, or nil
// to discard all logs.
func (p *printer) vmLoggers(verbose bool) func(vm string) zerolog.Logger {
	if !verbose {
		return nil
	}
	return func(vm string) zerolog.Logger {
		return newLogger(zerolog.SyncWriter(p.errOut), zerolog.InfoLevel, vm)
	}
}
