package main

import (
	"context"
	"io"
	"os"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/spf13/cobra"
)

func main() {
	setLogFormat()
	os.Exit(run(context.Background(), os.Args[1:], os.Stdout, os.Stderr))
}

// run carries out one call of the command line and returns its exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	p := &printer{out: stdout, errors: stderr}
	root := newRoot(p)
	started := false
	beforeEach(root.Commands(), func() error {
		started = true
		return p.checkFormat()
	})
	root.SetArgs(args)
	root.SetOut(stdout)
	root.SetErr(stderr)
	err := root.ExecuteContext(ctx)
	if err != nil && !started {
		err = lhcode.Wrap(lhcode.Usage, err, "wrong call; see laburnumhollow --help")
	}
	p.fault(err)
	return exitCode(lhcode.Of(err))
}

// beforeEach puts a step before each of the commands and their own commands.
func beforeEach(commands []*cobra.Command, step func() error) {
	for _, c := range commands {
		if c.RunE != nil {
			c.RunE = onStart(c.RunE, step)
		}
		beforeEach(c.Commands(), step)
	}
}

// onStart returns run with a step before it. A call that fails earlier than this
// step was wrong in its words, flags or arguments.
func onStart(run func(*cobra.Command, []string) error, step func() error) func(*cobra.Command, []string) error {
	return func(c *cobra.Command, args []string) error {
		if err := step(); err != nil {
			return err
		}
		return run(c, args)
	}
}

// newRoot returns the command line with all its commands.
func newRoot(p *printer) *cobra.Command {
	root := &cobra.Command{
		Use:   "laburnumhollow",
		Short: "A layer-4 load balancer that is run by a folder of small files",
		Long: `A layer-4 load balancer that is run by a folder of small files.

Exit codes: 0 done, 1 a fault was found, 2 wrong call, 3 another operator was
faster, 4 the platform's service or a VM gave no answer and nothing was changed,
5 not known whether a change is in force.`,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return cmd.Help() },
	}
	root.PersistentFlags().StringVarP(&p.format, "output", "o", formatText, "form of the output: text or json")
	root.AddCommand(
		newEntryCommand(p),
		newMarkedCommand(p),
		newCheckCommand(p),
		newApplyCommand(p),
		newFetchCommand(p),
		newShowCommand(p),
		newDrainCommand(p),
		newRestoreCommand(p),
		newDumpCommand(p),
		newStatusCommand(p),
		newKeysCommand(p),
		newDemoCommand(p),
		newLoadCommand(p),
		newVersionCommand(p),
	)
	return root
}
