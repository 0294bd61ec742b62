package main

import (
	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/spf13/cobra"
)

func newEntryCommand(p *printer) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "entry --settings FILE",
		Short: "Run the load balancer on an entry VM",
		Long: `Run the load balancer on an entry VM until it is told to stop.

Every setting is checked first, and a fault in any keeps the process from
starting. SIGTERM starts a planned stop: the process says that it leaves, hands
its flows over and goes on forwarding until the bound in times.stop. A second
SIGTERM ends it at once. The log goes to standard error, one JSON object a line.`,
		Example: "  laburnumhollow entry --settings /etc/laburnumhollow/sapporo-a-1.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			settings, err := lhconf.ReadSettings(path)
			if err != nil {
				return err
			}
			log := newLogger(p.errors, settings.LogLevel, settings.Name)
			log.Error().Msg("entry process is not built in")
			return lhcode.New(lhcode.Internal, "entry process is not built in")
		},
	}
	c.Flags().StringVar(&path, "settings", "", "file with the VM's settings")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	return c
}
