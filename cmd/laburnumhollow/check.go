package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
	"github.com/spf13/cobra"
)

// checkResult is the output of check for a folder without problems.
type checkResult struct {
	Services int `json:"services"`
	Servers  int `json:"servers"`
	Kinds    int `json:"kinds"`
	// Warnings holds what is valid and most likely not meant.
	Warnings lhconf.Problems `json:"warnings"`
	Values   lhconf.Origins  `json:"values"`
	// Revision is the revision in force and Differences what the folder changes of it. They
	// are omitted if the folder is not compared.
	Revision    uint64              `json:"revision,omitempty"`
	Differences []lhconf.Difference `json:"differences,omitempty"`
}

func newCheckCommand(p *printer) *cobra.Command {
	var url string
	var strict bool
	c := &cobra.Command{
		Use:   "check FOLDER",
		Short: "Check a configuration folder and show where each value comes from",
		Long: `Check a configuration folder without changing anything.

The folder's *.ini files are merged in the order of their names. Each merged value
is printed with the file and line that it comes from, and the lines whose values
it replaced. If there are problems, all of them are printed instead.

Warnings name what is valid and most likely not meant: entries that can never match,
codes 110, and limits that contradict each other, 111. With --strict the first of them
decides the exit code.

Use --platform to check a folder that contains only the files of one team: the
folder's changes are then merged into the configuration in force, as by apply. The
values that would change are printed with those in force.`,
		Example: "  laburnumhollow check examples/kiritori\n  laburnumhollow check examples/kiritori -o json\n" +
			"  laburnumhollow check examples/kiritori --strict --platform http://10.40.0.9:8500",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := checkFolder(cmd.Context(), args[0], url)
			if err != nil {
				return err
			}
			if err := p.printResult(result, func(w io.Writer) { writeCheck(w, result) }); err != nil {
				return err
			}
			if strict && len(result.Warnings) > 0 {
				return lhcode.Newf(result.Warnings[0].Code, "%d warnings, which --strict does not allow", len(result.Warnings))
			}
			return nil
		},
	}
	c.Flags().StringVar(&url, "platform", "", "URL of the platform's key-value service; check the changes merged into the configuration in force")
	c.Flags().BoolVar(&strict, "strict", false, "fail if there are warnings")
	return c
}

// checkFolder checks a folder. If url is set, it checks the files that would be in force after
// applying the folder to that platform, and compares them with those in force.
func checkFolder(ctx context.Context, dir, url string) (checkResult, error) {
	files, inForce, err := filesToCheck(ctx, dir, url)
	if err != nil {
		return checkResult{}, err
	}
	config, origins, problems := lhconf.Merge(files)
	if len(problems) > 0 {
		return checkResult{}, problems.Err()
	}
	result := checkResult{
		Services: len(config.Services), Servers: len(config.Servers), Kinds: len(config.Kinds),
		Warnings: lhconf.Warnings(config, origins), Values: origins,
	}
	if inForce != nil {
		_, before, _ := lhconf.Merge(inForce.Files())
		result.Revision, result.Differences = inForce.Position().Revision, lhconf.Differences(before, origins)
	}
	return result, nil
}

// filesToCheck returns the files of a folder. If url is set, it returns the files that
// would be in force after applying the folder to that platform, and the configuration in force.
func filesToCheck(ctx context.Context, dir, url string) (map[string]string, *lhstore.Snapshot, error) {
	if url == "" {
		files, err := lhconf.ReadFolder(dir)
		return files, nil, err
	}
	f, err := loadFolder(ctx, &platform{url: url}, dir)
	if err != nil {
		return nil, nil, err
	}
	return withChanges(f.inForce.Files(), f.changes), &f.inForce, nil
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
	writeDifferences(w, r)
	for _, warning := range r.Warnings {
		fmt.Fprintf(w, "warning: %s\n", warning)
	}
	fmt.Fprintf(w, "no problems; services: %d, backend servers: %d, kinds of work: %d\n", r.Services, r.Servers, r.Kinds)
}

// writeDifferences prints what the folder changes of the configuration in force.
func writeDifferences(w io.Writer, r checkResult) {
	if r.Revision == 0 {
		return
	}
	fmt.Fprintf(w, "changes of revision %d: %d\n", r.Revision, len(r.Differences))
	for _, d := range r.Differences {
		switch {
		case d.Before == nil:
			fmt.Fprintf(w, "  + [%s] %s = %s\t%s\n", d.Section, d.Key, d.After.Value, d.After.Origin)
		case d.After == nil:
			fmt.Fprintf(w, "  - [%s] %s = %s\t%s\n", d.Section, d.Key, d.Before.Value, d.Before.Origin)
		default:
			fmt.Fprintf(w, "  ~ [%s] %s = %s, was %s\t%s\n", d.Section, d.Key, d.After.Value, d.Before.Value, d.After.Origin)
		}
	}
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
