package main

import (
	"context"
	"fmt"
	"io"
	"maps"

	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
	"github.com/spf13/cobra"
)

// applyResult is the outcome of a change.
type applyResult struct {
	Revision  uint64   `json:"revision"`
	Digest    string   `json:"digest"`
	Unchanged bool     `json:"unchanged"`
	Changed   []string `json:"changed"`
	Removed   []string `json:"removed"`
}

func newApplyCommand(p *printer) *cobra.Command {
	var pl platform
	var ticket string
	c := &cobra.Command{
		Use:   "apply FOLDER --platform URL",
		Short: "Apply the changes of a configuration folder",
		Long: `Apply the changes of a configuration folder to the configuration in force.

Only files that were changed in the folder since it last matched the configuration
in force are written; all other files keep their contents. The folder's file
.applied records the state that last matched: put it under version control
together with the configuration files.

The merged configuration is checked as a whole before it is accepted, and a change
takes effect completely or not at all. Changes of two operators to different files
are both accepted. If both change the same file, the second change is rejected
with a conflict, exit code 3; the help of fetch describes how to resolve it. If
the outcome of a change is unknown, exit code 5, a ticket is printed; the same
command with --ticket determines the outcome or completes the change.`,
		Example: "  laburnumhollow apply examples/kiritori --platform http://10.40.0.9:8500",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := applyFolder(cmd.Context(), &pl, args[0], ticket)
			if result.Revision == 0 {
				return err
			}
			if printErr := p.printResult(result, func(w io.Writer) { writeApply(w, result) }); printErr != nil {
				return printErr
			}
			return err
		},
	}
	pl.addFlags(c)
	pl.addUnguardedFlag(c)
	c.Flags().StringVar(&ticket, "ticket", "", "ticket of an earlier attempt whose outcome is unknown")
	return c
}

// applyFolder applies the local changes of a folder and then stores the folder's files
// as its merge base. If an error occurs after the change was accepted, it returns the
// result along with the error.
func applyFolder(ctx context.Context, pl *platform, dir, ticket string) (applyResult, error) {
	change, err := newChange(ticket)
	if err != nil {
		return applyResult{}, err
	}
	f, err := loadFolder(ctx, pl, dir)
	if err != nil {
		return applyResult{}, err
	}
	change.Files = f.changes
	result, err := applyChange(ctx, pl, change)
	if err != nil {
		return applyResult{}, err
	}
	return result, newMergeBase(f.files).write(dir)
}

// folder is an operator's folder compared with the configuration in force.
type folder struct {
	files map[string]string
	// changes are the local changes since the merge base, and the removal of drain
	// files whose server these changes remove.
	changes []lhstore.FileChange
	inForce lhstore.Snapshot
}

// loadFolder reads a folder and the configuration in force, and compares them.
func loadFolder(ctx context.Context, pl *platform, dir string) (folder, error) {
	files, err := lhconf.ReadFolder(dir)
	if err != nil {
		return folder{}, err
	}
	base, err := readMergeBase(dir)
	if err != nil {
		return folder{}, err
	}
	inForce, err := lhstore.Open(ctx, pl.store())
	if err != nil {
		return folder{}, err
	}
	changes := lhstore.Diff(base, files)
	changes = append(changes, staleDrains(inForce.Files(), changes)...)
	return folder{files: files, changes: changes, inForce: inForce}, nil
}

// newChange returns a change without files. With a ticket it retries the change that
// the ticket identifies.
func newChange(ticket string) (lhstore.Change, error) {
	if ticket == "" {
		return lhstore.Change{}, nil
	}
	earlier, err := lhstore.ParseTicket(ticket)
	return lhstore.Change{ID: earlier.ID, PreviousAttempt: &earlier}, err
}

// applyChange applies a change and returns the files that it changed and removed.
func applyChange(ctx context.Context, pl *platform, change lhstore.Change) (applyResult, error) {
	done, err := pl.apply(ctx, change)
	if err != nil {
		return applyResult{}, err
	}
	result := applyResult{
		Revision:  done.Position.Revision,
		Digest:    formatDigest(done.Position),
		Unchanged: done.Unchanged,
		Changed:   []string{},
		Removed:   []string{},
	}
	if done.Unchanged {
		return result, nil
	}
	for _, f := range change.Files {
		if f.Removed {
			result.Removed = append(result.Removed, f.Name)
		} else {
			result.Changed = append(result.Changed, f.Name)
		}
	}
	return result, nil
}

// formatDigest formats the digest of a position the way VMs report it.
func formatDigest(p lhstore.Position) string { return fmt.Sprintf("%016x", p.Digest) }

// withChanges returns a copy of files with changes applied.
func withChanges(files map[string]string, changes []lhstore.FileChange) map[string]string {
	after := maps.Clone(files)
	for _, c := range changes {
		if c.Removed {
			delete(after, c.Name)
		} else {
			after[c.Name] = c.Text
		}
	}
	return after
}

// writeFileChanges lists the changed and removed files.
func writeFileChanges(w io.Writer, r applyResult) {
	for _, name := range r.Changed {
		fmt.Fprintf(w, "changed\t%s\n", name)
	}
	for _, name := range r.Removed {
		fmt.Fprintf(w, "removed\t%s\n", name)
	}
}

func writeApply(w io.Writer, r applyResult) {
	writeFileChanges(w, r)
	if r.Unchanged {
		fmt.Fprintf(w, "nothing to change; revision %d %s is in force\n", r.Revision, r.Digest)
		return
	}
	fmt.Fprintf(w, "accepted as revision %d %s\n", r.Revision, r.Digest)
}
