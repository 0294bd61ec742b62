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
		Long: `Run the load balancer on an entry VM until it receives a signal to stop.

All settings are checked first, and the process does not start if one is invalid.
SIGTERM starts a planned stop: the process announces that it leaves the group,
hands over its flow records and keeps forwarding packets that still arrive, for at
most the time in times.stop. A second SIGTERM stops it immediately. The log goes to
standard error, one JSON object per line.`,
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
