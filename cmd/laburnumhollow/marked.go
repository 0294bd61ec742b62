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
				return lhcode.New(lhcode.Usage, "neither --settings nor the platform names a file")
			}
			settings, err := lhconf.ReadMarkedSettings(path)
			if err != nil {
				return err
			}
			if settings.Memory > 0 {
				debug.SetMemoryLimit(int64(float64(settings.Memory) * memoryPart * megabyte))
			}
			out, flush := newSteadyWriter(p.out)
			defer flush()
			o := outside(settings)
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
			ctx, kill, release := stopContexts()
			defer release()
			return <-marked.Run(ctx, kill)
		},
	}
	c.Flags().StringVar(&path, "settings", "", "file with the VM's settings")
	return c
}

const (
	// memoryPart is the part of a VM's memory from which on the garbage collector works
	// harder. The rest is for what it does not manage: sockets and their buffers.
	memoryPart = 0.5
	megabyte   = 1 << 20
)

// outside returns the platform as a Marked process meets it.
func outside(s lhconf.MarkedSettings) lhentry.Dependencies {
	return lhentry.Dependencies{
		Codec:           lhplatform.Codec{},
		Store:           lhplatform.NewStore(s.Platform),
		NewReadyHandler: lhplatform.NewReadyHandler,
	}
}
