package main

import (
	"fmt"
	"io"
	"runtime/debug"

	"github.com/spf13/cobra"
)

// version is the build information of the binary.
type version struct {
	Module string `json:"module"`
	// Commit is the source revision. It is empty if the build did not record it.
	Commit string `json:"commit,omitempty"`
	Go     string `json:"go"`
}

// readVersion returns the version recorded in the binary.
func readVersion() version {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return version{Module: "unknown"}
	}
	v := version{Module: info.Main.Version, Go: info.GoVersion}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			v.Commit = s.Value
		}
	}
	return v
}

// String returns the version on one line.
func (v version) String() string { return fmt.Sprintf("%s %s %s", v.Module, v.Commit, v.Go) }

func newVersionCommand(p *printer) *cobra.Command {
	return &cobra.Command{
		Use:     "version",
		Short:   "Print the version of this build",
		Example: "  laburnumhollow version -o json",
		Args:    cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			v := readVersion()
			return p.printResult(v, func(w io.Writer) { fmt.Fprintln(w, v) })
		},
	}
}
