package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhconf"
	"github.com/laburnumhollow/laburnumhollow/lhstore"
	"github.com/spf13/cobra"
)

// A drain is stored in a separate file, so that it never conflicts with a change to the
// teams' files. Files are merged in the order of their names, and this name sorts last,
// so that the state in this file overrides the one in theirs.
const (
	drainPrefix = "zz-drain-"
	drainSuffix = ".ini"
)

// drainFileName returns the name of the file that drains a server.
func drainFileName(server string) string { return drainPrefix + server + drainSuffix }

// drainFileText returns the contents of the file that drains a server.
func drainFileText(server string) string {
	return fmt.Sprintf("# Written by laburnumhollow drain; restore removes it.\n[server %s]\nstate = %v\n", server, lhconf.Draining)
}

// drainedServer returns the server that a file of this name drains, and whether it is
// the name of a drain file.
func drainedServer(file string) (string, bool) {
	server, ok := strings.CutPrefix(file, drainPrefix)
	if !ok {
		return "", false
	}
	return strings.CutSuffix(server, drainSuffix)
}

func newDrainCommand(p *printer) *cobra.Command {
	return newServerCommand(p, drain, &cobra.Command{
		Use:   "drain NAME --platform URL",
		Short: "Stop sending new flows to a backend server",
		Long: `Stop sending new flows to a backend server. Its open flows continue until they
end; dump shows how many are left. The drain is stored in a separate file of the
configuration in force, so that it never conflicts with other changes.`,
		Example: "  laburnumhollow drain cutdesk-03 --platform http://10.40.0.9:8500",
	})
}

func newRestoreCommand(p *printer) *cobra.Command {
	return newServerCommand(p, restore, &cobra.Command{
		Use:     "restore NAME --platform URL",
		Short:   "Send new flows to a drained backend server again",
		Long:    "Send new flows to a drained backend server again by removing the file that drain wrote.",
		Example: "  laburnumhollow restore cutdesk-03 --platform http://10.40.0.9:8500",
	})
}

// serverChange changes the state of one server in the configuration in force.
type serverChange func(ctx context.Context, pl *platform, server string) (applyResult, error)

// newServerCommand completes c to run change for the server named by its argument.
func newServerCommand(p *printer, change serverChange, c *cobra.Command) *cobra.Command {
	var pl platform
	c.Args = cobra.ExactArgs(1)
	c.RunE = func(cmd *cobra.Command, args []string) error {
		result, err := change(cmd.Context(), &pl, args[0])
		if err != nil {
			return err
		}
		return p.printResult(result, func(w io.Writer) { writeApply(w, result) })
	}
	pl.addFlags(c)
	pl.addUnguardedFlag(c)
	return c
}

// drain adds the file that drains a server to the configuration in force.
func drain(ctx context.Context, pl *platform, server string) (applyResult, error) {
	inForce, err := lhstore.Open(ctx, pl.store())
	if err != nil {
		return applyResult{}, err
	}
	if _, err := serverState(&inForce, server); err != nil {
		return applyResult{}, err
	}
	file := lhstore.FileChange{FileText: lhstore.FileText{Name: drainFileName(server), Text: drainFileText(server)}}
	if text, ok := inForce.File(file.Name); ok {
		file.Base = lhstore.Hash(text)
	}
	return applyChange(ctx, pl, lhstore.Change{Files: []lhstore.FileChange{file}})
}

// restore removes the file that drains a server from the configuration in force.
func restore(ctx context.Context, pl *platform, server string) (applyResult, error) {
	inForce, err := lhstore.Open(ctx, pl.store())
	if err != nil {
		return applyResult{}, err
	}
	state, err := serverState(&inForce, server)
	if err != nil {
		return applyResult{}, err
	}
	text, drained := inForce.File(drainFileName(server))
	if !drained && state.Value == lhconf.Draining.String() {
		return applyResult{}, lhcode.Newf(lhcode.Conflict, "%s drains server %s; restore only removes files that drain wrote, so change the state there and apply it", state.Origin, server)
	}
	removal := lhstore.FileChange{
		FileText: lhstore.FileText{Name: drainFileName(server), Removed: true},
		Base:     lhstore.Hash(text),
	}
	return applyChange(ctx, pl, lhstore.Change{Files: []lhstore.FileChange{removal}})
}

// serverState returns the merged state of a declared server and the line that sets it.
// It returns the zero value if no file sets the state.
func serverState(inForce *lhstore.Snapshot, server string) (lhconf.MergedValue, error) {
	config, origins, _ := lhconf.Merge(inForce.Files())
	declared := slices.ContainsFunc(config.Servers, func(s lhconf.BackendServer) bool { return s.Name == server })
	if !declared {
		return lhconf.MergedValue{}, lhcode.Newf(lhcode.NotFound, "no backend server %q in revision %d", server, inForce.Position().Revision)
	}
	for _, v := range origins {
		if v.Section == "server "+server && v.Key == "state" {
			return v, nil
		}
	}
	return lhconf.MergedValue{}, nil
}

// staleDrains returns the removal of each drain file in force whose server is no longer
// declared after changes. Servers are usually drained before they are removed, and the
// drain file alone would then refer to an undeclared server.
func staleDrains(inForce map[string]string, changes []lhstore.FileChange) []lhstore.FileChange {
	after := withChanges(inForce, changes)
	maps.DeleteFunc(after, func(name, _ string) bool {
		_, ok := drainedServer(name)
		return ok
	})
	config, _, _ := lhconf.Merge(after)
	declared := make(map[string]bool)
	for _, s := range config.Servers {
		declared[s.Name] = true
	}
	var stale []lhstore.FileChange
	for _, name := range slices.Sorted(maps.Keys(inForce)) {
		server, ok := drainedServer(name)
		if !ok || declared[server] || containsFile(changes, name) {
			continue
		}
		removal := lhstore.FileText{Name: name, Removed: true}
		stale = append(stale, lhstore.FileChange{FileText: removal, Base: lhstore.Hash(inForce[name])})
	}
	return stale
}

// containsFile reports whether changes include a file.
func containsFile(changes []lhstore.FileChange, name string) bool {
	return slices.ContainsFunc(changes, func(c lhstore.FileChange) bool { return c.Name == name })
}
