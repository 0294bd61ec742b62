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
		Short: "Update a folder to the configuration in force",
		Long: `Update a folder to the configuration in force.

Files that other operators changed or removed are changed or removed in the folder
too. If the folder has a different change to one of these files, fetch reports a
conflict, exit code 3, and writes nothing. To resolve it, undo the change in the
folder, fetch again and redo the change.`,
		Example: "  laburnumhollow fetch ./fleet --platform http://10.40.0.9:8500",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := fetchFolder(cmd.Context(), &pl, args[0])
			if err != nil {
				return err
			}
			return p.printResult(result, func(w io.Writer) { writeFetch(w, result) })
		},
	}
	pl.addFlags(c)
	return c
}

// fetchFolder merges the configuration in force into a folder.
func fetchFolder(ctx context.Context, pl *platform, dir string) (applyResult, error) {
	snapshot, err := lhstore.Open(ctx, pl.store())
	if err != nil {
		return applyResult{}, err
	}
	base, err := readMergeBase(dir)
	if err != nil {
		return applyResult{}, err
	}
	files, err := lhconf.ReadFolder(dir)
	if err != nil && lhcode.Of(err) != lhcode.NotFound && !errors.Is(err, fs.ErrNotExist) {
		return applyResult{}, err
	}
	inForce := snapshot.Files()
	plan, err := planFetch(base, newMergeBase(files), newMergeBase(inForce))
	if err != nil {
		return applyResult{}, err
	}
	if err := plan.write(dir, inForce); err != nil {
		return applyResult{}, err
	}
	return applyResult{
		Revision:  snapshot.Position().Revision,
		Digest:    formatDigest(snapshot.Position()),
		Unchanged: len(plan.changed)+len(plan.removed) == 0,
		Changed:   plan.changed,
		Removed:   plan.removed,
	}, nil
}

// newFolderMode is the permission mode of a folder that fetch creates.
const newFolderMode = 0o755

// fetchPlan lists the changes of a fetch to a folder.
type fetchPlan struct {
	changed []string
	removed []string
	base    mergeBase
}

// planFetch does a three-way merge of a folder with the configuration in force, file by
// file. The side that differs from the merge base wins. If both differ from it and from
// each other, the merge fails with a conflict.
func planFetch(base, local, inForce mergeBase) (fetchPlan, error) {
	plan := fetchPlan{changed: []string{}, removed: []string{}, base: mergeBase{}}
	all := maps.Clone(base)
	maps.Copy(all, local)
	maps.Copy(all, inForce)
	for _, name := range slices.Sorted(maps.Keys(all)) {
		baseHash, localHash, inForceHash := base[name], local[name], inForce[name]
		switch {
		case inForceHash == baseHash || inForceHash == localHash:
		case localHash != baseHash:
			return fetchPlan{}, lhcode.Newf(lhcode.Conflict, "%s was changed in the folder and by another operator; nothing was written", name)
		case inForceHash == "":
			plan.removed = append(plan.removed, name)
		default:
			plan.changed = append(plan.changed, name)
		}
		if inForceHash != "" {
			plan.base[name] = inForceHash
		}
	}
	return plan, nil
}

// write applies the plan to a folder.
func (f fetchPlan) write(dir string, inForce map[string]string) error {
	if err := os.MkdirAll(dir, newFolderMode); err != nil {
		return lhcode.Wrap(lhcode.FileUnreadable, err, "create the folder")
	}
	for _, name := range f.changed {
		if err := writeFolderFile(dir, name, inForce[name]); err != nil {
			return err
		}
	}
	for _, name := range f.removed {
		if err := os.Remove(filepath.Join(dir, name)); err != nil {
			return lhcode.Wrap(lhcode.FileUnreadable, err, "remove a file from the folder")
		}
	}
	return f.base.write(dir)
}

func writeFetch(w io.Writer, r applyResult) {
	writeFileChanges(w, r)
	fmt.Fprintf(w, "the folder is up to revision %d %s\n", r.Revision, r.Digest)
}
