package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhentry"
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
			entry, err := lhentry.New(settings, newLogger(p.errOut, settings.LogLevel, settings.Name))
			if err != nil {
				return err
			}
			ctx, kill, release := signalContexts()
			defer release()
			return <-entry.Run(ctx, kill)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "file with the VM's settings")
	if err := c.MarkFlagRequired("settings"); err != nil {
		panic(err)
	}
	return c
}

// signalContexts returns a context that the first SIGINT or SIGTERM cancels, one that
// the second cancels, and a function that stops the signal handling.
func signalContexts() (ctx, kill context.Context, release func()) {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	ctx, cancelStop := context.WithCancel(context.Background())
	kill, cancelKill := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for _, cancel := range []context.CancelFunc{cancelStop, cancelKill} {
			select {
			case <-signals:
				cancel()
			case <-kill.Done():
				return
			}
		}
	}()
	return ctx, kill, func() {
		signal.Stop(signals)
		cancelStop()
		cancelKill()
		<-done
	}
}
