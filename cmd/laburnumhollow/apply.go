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

// applyResult is what a change has come to.
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
		Short: "Bring the changes of a configuration folder into force",
		Long: `Bring the changes of a configuration folder into force.

Only files that were changed in the folder since it last agreed with the
configuration in force are written; files of others stay as they are. The folder's
file .applied keeps what it last agreed with: put it under version control
together with the configuration files.

The outcome is checked as a whole before it is accepted, and nothing enters by
half. Two operators who change different files both win. Of two who change the
same file the second is told of the conflict, exit code 3; fetch shows the other's
text. Where it can't be known whether the change is in force, exit code 5, a ticket
is printed, with which the same call finds out or finishes the change.`,
		Example: "  laburnumhollow apply examples/kiritori --platform http://10.40.0.9:8500",
		Args:    cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			result, err := applyFolder(cmd.Context(), &pl, args[0], ticket)
			if result.Revision == 0 {
				return err
			}
			if failed := p.result(result, func(w io.Writer) { writeApply(w, result) }); failed != nil {
				return failed
			}
			return err
		},
	}
	pl.addTo(c)
	pl.addGuard(c)
	c.Flags().StringVar(&ticket, "ticket", "", "ticket of an earlier call whose outcome is not known")
	return c
}

// applyFolder applies what a folder changes, and then makes the folder's files its
// base. With an error after the change was accepted it returns the result too.
func applyFolder(ctx context.Context, pl *platform, dir, ticket string) (applyResult, error) {
	change, err := newChange(ticket)
	if err != nil {
		return applyResult{}, err
	}
	f, err := openFolder(ctx, pl, dir)
	if err != nil {
		return applyResult{}, err
	}
	change.Files = f.changes
	result, err := applyChange(ctx, pl, change)
	if err != nil {
		return applyResult{}, err
	}
	return result, newBase(f.files).write(dir)
}

// folder is an operator's folder against the configuration in force.
type folder struct {
	files map[string]string
	// changes are what the folder's owner has changed since its base, and the
	// removal of drains that become pointless by it.
	changes []lhstore.FileChange
	now     lhstore.Snapshot
}

// openFolder reads a folder and the configuration in force.
func openFolder(ctx context.Context, pl *platform, dir string) (folder, error) {
	files, err := lhconf.ReadFolder(dir)
	if err != nil {
		return folder{}, err
	}
	read, err := readBase(dir)
	if err != nil {
		return folder{}, err
	}
	now, err := lhstore.Open(ctx, pl.store())
	if err != nil {
		return folder{}, err
	}
	changes := lhstore.Diff(read, files)
	changes = append(changes, staleDrains(now.Files(), changes)...)
	return folder{files: files, changes: changes, now: now}, nil
}

// newChange returns an empty change, which repeats that of a ticket unless the
// ticket is empty.
func newChange(ticket string) (lhstore.Change, error) {
	if ticket == "" {
		return lhstore.Change{}, nil
	}
	earlier, err := lhstore.ParseTicket(ticket)
	return lhstore.Change{ID: earlier.ID, PreviousAttempt: &earlier}, err
}

// applyChange applies a change and says what became of each file.
func applyChange(ctx context.Context, pl *platform, change lhstore.Change) (applyResult, error) {
	done, err := pl.apply(ctx, change)
	if err != nil {
		return applyResult{}, err
	}
	result := applyResult{
		Revision:  done.Position.Revision,
		Digest:    digestText(done.Position),
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

// digestText returns a position's digest as VMs report it.
func digestText(p lhstore.Position) string { return fmt.Sprintf("%016x", p.Digest) }

// changed returns files as they are after changes.
func changed(files map[string]string, changes []lhstore.FileChange) map[string]string {
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

// writeFiles lists the files that were changed and removed.
func writeFiles(w io.Writer, r applyResult) {
	for _, name := range r.Changed {
		fmt.Fprintf(w, "changed\t%s\n", name)
	}
	for _, name := range r.Removed {
		fmt.Fprintf(w, "removed\t%s\n", name)
	}
}

func writeApply(w io.Writer, r applyResult) {
	writeFiles(w, r)
	if r.Unchanged {
		fmt.Fprintf(w, "nothing to change; in force is revision %d %s\n", r.Revision, r.Digest)
		return
	}
	fmt.Fprintf(w, "accepted as revision %d %s\n", r.Revision, r.Digest)
}
