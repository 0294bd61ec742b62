package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
	"github.com/spf13/cobra"
)

func newFetchCommand(p *printer) *cobra.Command {
	var pl platform
	c := &cobra.Command{
		Use:   "fetch FOLDER --platform URL",
		Short: "Bring a folder up to the configuration in force",
		Long: `Bring a folder up to the configuration in force.

Files that others have changed or removed are changed or removed here too, unless
this folder has changed them as well. Nothing is written where there is such a
conflict, exit code 3; move your change aside, fetch again and repeat it.`,
		Example: "  laburnumhollow fetch ./fleet --platform http://10.40.0.9:8500",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := fetchFolder(cmd.Context(), &pl, args[0])
			if err != nil {
				return err
			}
			return p.result(result, func(w io.Writer) { writeFetch(w, result) })
		},
	}
	pl.addTo(c)
	return c
}

// fetchFolder brings a folder up to the configuration in force.
func fetchFolder(ctx context.Context, pl *platform, dir string) (applyResult, error) {
	now, err := lhstore.Open(ctx, pl.store())
	if err != nil {
		return applyResult{}, err
	}
	read, err := readBase(dir)
	if err != nil {
		return applyResult{}, err
	}
	files, err := lhconf.ReadFolder(dir)
	if err != nil && lhcode.Of(err) != lhcode.NotFound && !errors.Is(err, fs.ErrNotExist) {
		return applyResult{}, err
	}
	inForce := now.Files()
	plan, err := planFetch(read, newBase(files), newBase(inForce))
	if err != nil {
		return applyResult{}, err
	}
	if err := plan.write(dir, inForce); err != nil {
		return applyResult{}, err
	}
	return applyResult{
		Revision:  now.Position().Revision,
		Digest:    digestText(now.Position()),
		Unchanged: len(plan.changed)+len(plan.removed) == 0,
		Changed:   plan.changed,
		Removed:   plan.removed,
	}, nil
}

// folderMode is the mode of a folder that a fetch makes.
const folderMode = 0o755

// fetchPlan is what a fetch changes in a folder.
type fetchPlan struct {
	changed []string
	removed []string
	base    base
}

// planFetch merges a folder with what is in force, file by file. The side that
// differs from the base wins; where both do, they must agree.
func planFetch(read, folder, inForce base) (fetchPlan, error) {
	plan := fetchPlan{changed: []string{}, removed: []string{}, base: base{}}
	all := maps.Clone(read)
	maps.Copy(all, folder)
	maps.Copy(all, inForce)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		before, here, there := read[name], folder[name], inForce[name]
		switch {
		case there == before || there == here:
		case here != before:
			return fetchPlan{}, lhcode.Newf(lhcode.Conflict, "%s was changed in the folder and by another; nothing was written", name)
		case there == "":
			plan.removed = append(plan.removed, name)
		default:
			plan.changed = append(plan.changed, name)
		}
		if there != "" {
			plan.base[name] = there
		}
	}
	return plan, nil
}

// write carries the plan out in a folder.
func (f fetchPlan) write(dir string, inForce map[string]string) error {
	if err := os.MkdirAll(dir, folderMode); err != nil {
		return lhcode.Wrap(lhcode.FileUnreadable, err, "make the folder")
	}
	for _, name := range f.changed {
		if err := writeFolderFile(dir, name, inForce[name]); err != nil {
			return err
		}
	}
	for _, name := range f.removed {
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return lhcode.Wrap(lhcode.FileUnreadable, err, "remove from the folder")
		}
	}
	return f.base.write(dir)
}

func writeFetch(w io.Writer, r applyResult) {
	writeFiles(w, r)
	fmt.Fprintf(w, "the folder is up to revision %d %s\n", r.Revision, r.Digest)
}
