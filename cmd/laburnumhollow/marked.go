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
		Short: "Run the load balancer on an entry VM whose network marks flows",
		Long: `Run the load balancer on an entry VM until it is told to stop, on a platform
where the ends of a flow return a mark of each packet.

Without --settings the platform names the file. Every setting is checked first, and
a fault in any keeps the process from starting. SIGTERM starts a planned stop: the
process tells the routers to turn away and forwards what still arrives, until the
bound in times.stop. A second SIGTERM ends it at once. SIGHUP has the settings read
again. The log goes to standard output, one JSON object a line; lines that can't be
written in time are dropped and counted.`,
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
