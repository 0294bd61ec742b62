package main

import (
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhentry"
	lhplatform "github.com/laburnumhollow/laburnumhollow/platform"
)

func newMarkedCommand(p *printer) *cobra.Command {
	var path string
	c := &cobra.Command{
		Use:   "marked [--settings FILE]",
		Short: "Run the load balancer on an entry VM in a network with flow marks",
		Long: `Run the load balancer on an entry VM until it receives a signal to stop, on a
platform where both ends of a flow copy a mark from the packets that they receive
into those that they send.

Without --settings, the platform names the settings file. All settings are checked
first, and the process does not start if one is invalid. SIGTERM starts a planned
stop: the readiness endpoint tells routers to stop sending, and packets that still
arrive are forwarded, for at most the time in times.stop. A second SIGTERM stops
the process immediately. SIGHUP reloads the settings. The log goes to standard
output, one JSON object per line; lines that can't be written in time are dropped
and counted.`,
		Example: "  laburnumhollow marked --settings /etc/laburnumhollow/vm.ini",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if path == "" {
				path = lhplatform.SettingsPath()
			}
			if path == "" {
				return lhcode.New(lhcode.Usage, "neither --settings nor the platform names a settings file")
			}
			settings, err := lhconf.ReadMarkedSettings(path)
			if err != nil {
				return err
			}
			if settings.Memory > 0 {
				debug.SetMemoryLimit(int64(float64(settings.Memory) * managedMemoryShare * megabyte))
			}
			out, flush := newNonBlockingWriter(p.out)
			defer flush()
			o := platformAdapters(settings)
			reread := make(chan os.Signal, 1)
			signal.Notify(reread, syscall.SIGHUP)
			defer signal.Stop(reread)
			o.Reload = lhentry.Reload{
				Read:    func() (lhconf.MarkedSettings, error) { return lhconf.ReadMarkedSettings(path) },
				Trigger: reread,
			}
			marked, err := lhentry.NewMarked(settings, o, newLogger(out, settings.LogLevel, settings.Name))
			if err != nil {
				return err
			}
			ctx, kill, release := signalContexts()
			defer release()
			return <-marked.Run(ctx, kill)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "file with the VM's settings")
	return c
}

const (
	// managedMemoryShare is the share of a VM's memory that is set as the soft limit of
	// the Go runtime; the garbage collector runs more often as the heap approaches it.
	// The rest is left for memory outside the runtime, such as socket buffers.
	managedMemoryShare = 0.5
	megabyte           = 1 << 20
)

// platformAdapters returns the platform's implementations of the interfaces that a
// Marked process uses.
func platformAdapters(s lhconf.MarkedSettings) lhentry.Dependencies {
	return lhentry.Dependencies{
		Codec:           lhplatform.Codec{},
		Store:           lhplatform.NewStore(s.Platform),
		NewReadyHandler: lhplatform.NewReadyHandler,
	}
}
