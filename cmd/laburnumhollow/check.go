package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/spf13/cobra"
)

// checkResult is the output of check for a folder without problems.
type checkResult struct {
	Services int            `json:"services"`
	Servers  int            `json:"servers"`
	Kinds    int            `json:"kinds"`
	Values   lhconf.Origins `json:"values"`
}

func newCheckCommand(p *printer) *cobra.Command {
	var url string
	c := &cobra.Command{
		Use:   "check FOLDER",
		Short: "Check a configuration folder and show where each value comes from",
		Long: `Check a configuration folder without changing anything.

The folder's *.ini files are merged in the order of their names. Each merged value
is printed with the file and line that it comes from, and the lines whose values
it replaced. If there are problems, all of them are printed instead.

Use --platform to check a folder that contains only the files of one team: the
folder's changes are then merged into the configuration in force, as by apply.`,
		Example: "  laburnumhollow check examples/kiritori\n  laburnumhollow check examples/kiritori -o json",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			files, err := filesToCheck(cmd.Context(), args[0], url)
			if err != nil {
				return err
			}
			config, origins, problems := lhconf.Merge(files)
			if len(problems) > 0 {
				return problems.Err()
			}
			result := checkResult{len(config.Services), len(config.Servers), len(config.Kinds), origins}
			return p.printResult(result, func(w io.Writer) { writeCheck(w, result) })
		},
	}
	c.Flags().StringVar(&url, "platform", "", "URL of the platform's key-value service; check the changes merged into the configuration in force")
	return c
}

// filesToCheck returns the files of a folder. If url is set, it returns the files that
// would be in force after applying the folder to that platform.
func filesToCheck(ctx context.Context, dir, url string) (map[string]string, error) {
	if url == "" {
		return lhconf.ReadFolder(dir)
	}
	f, err := loadFolder(ctx, &platform{url: url}, dir)
	return withChanges(f.inForce.Files(), f.changes), err
}

func writeCheck(w io.Writer, r checkResult) {
	section := ""
	for _, v := range r.Values {
		if v.Section != section {
			section = v.Section
			fmt.Fprintf(w, "[%s]\n", section)
		}
		fmt.Fprintf(w, "  %s = %s\t%s%s\n", v.Key, v.Value, v.Origin, formatReplaced(v.Replaced))
	}
	fmt.Fprintf(w, "no problems; services: %d, backend servers: %d, kinds of work: %d\n", r.Services, r.Servers, r.Kinds)
}

// formatReplaced lists the lines whose values were overridden.
func formatReplaced(origins []lhconf.Origin) string {
	if len(origins) == 0 {
		return ""
	}
	texts := make([]string, len(origins))
	for i, line := range origins {
		texts[i] = line.String()
	}
	return ", replaces " + strings.Join(texts, ", ")
}
