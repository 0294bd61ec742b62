package main

import (
	"context"
	"io"
	"os"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/spf13/cobra"
)

func main() {
	setLogTimeFormat()
	os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

// run executes one invocation of the command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	p := &printer{out: stdout, errOut: stderr}
	root := newRoot(p)
	started := false
	addPreRun(root.Commands(), func() error {
		started = true
		return p.checkFormat()
	})
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil && !started {
		err = lhcode.Wrap(lhcode.Usage, err, "invalid command line; see laburnumhollow --help")
	}
	p.printError(err)
	return exitCode(lhcode.Of(err))
}

// addPreRun runs preRun before each of the commands and their subcommands.
func addPreRun(commands []*cobra.Command, preRun func() error) {
	for _, c := range commands {
		if c.RunE != nil {
			c.RunE = withPreRun(c.RunE, preRun)
		}
		addPreRun(c.Commands(), preRun)
	}
}

// withPreRun returns run preceded by preRun. An invocation that fails before preRun
// has an invalid command, flag or argument.
func withPreRun(run func(*cobra.Command, []string) error, preRun func() error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		if err := preRun(); err != nil {
			return err
		}
		return run(c, args)
	}
}

// newRoot returns the root command with all subcommands.
func newRoot(p *printer) *cobra.Command {
	root := &cobra.Command{
		Use:   "laburnumhollow",
		Short: "A layer-4 load balancer that is configured by a folder of files",
		Long: `A layer-4 load balancer that is configured by a folder of files.

Exit codes: 0 success, 1 any other error, 2 invalid command line, 3 conflict with
a change by another operator, 4 the platform's service or a VM did not respond and
nothing was changed, 5 the outcome of a change is unknown.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.PersistentFlags().StringVarP(&p.format, "output", "o", formatText, "output format: text or json")
	root.AddCommand(
		newEntryCommand(p),
		newMarkedCommand(p),
		newCheckCommand(p),
		newApplyCommand(p),
		newFetchCommand(p),
		newShowCommand(p),
		newDrainCommand(p),
		newRestoreCommand(p),
		newEvacuateCommand(p),
		newDumpCommand(p),
		newStatusCommand(p),
		newKeysCommand(p),
		newDemoCommand(p),
		newLoadCommand(p),
		newVersionCommand(p),
	)
	return root
}
