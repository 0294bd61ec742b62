package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhkey"
	"github.com/laburnumhollow/laburnumhollow/lhops"
)

// tlsSection issues the keys of a VM and returns the [tls] section of its settings. It
// returns an empty string for a group without TLS.
func (f *fleet) tlsSection(p *process, n int) string {
	f.t.Helper()
	if f.keys == "" {
		return ""
	}
	files := f.issueKeys(p.name, fmt.Sprintf("127.0.2.%d", n), f.keys)
	p.ca = files.CA
	return fmt.Sprintf("[tls]\nca = %s\ncertificate = %s\nkey = %s\nops = on\n", files.CA, files.Certificate, files.Key)
}

func (f *fleet) issueKeys(name, address, out string) lhkey.Files {
	f.t.Helper()
	code, stdout, stderr := runCLI(f.t, "keys", "vm", "--group", "hokkaido", "--name", name, "--address", address, "--out", out, f.keys)
	assert.Equal(f.t, code, exitOK, "%s%s", stdout, stderr)
	return lhkey.FilesIn(out, name)
}

// newKeyedFleet starts a fleet whose VMs authenticate each other with TLS certificates.
func newKeyedFleet(t *testing.T, dataCentres ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, dir: t.TempDir()}
	f.keys = filepath.Join(f.dir, "keys")
	code, stdout, stderr := runCLI(t, "keys", "ca", "--group", "hokkaido", f.keys)
	assert.Equal(t, code, exitOK, "%s%s", stdout, stderr)
	f.start(dataCentres...)
	return f
}

// TestFleetWithKeys replaces the keys of three running VMs while flows are open. The
// flows must continue, and a VM that joins later must be authenticated too.
func TestFleetWithKeys(t *testing.T) {
	f := newKeyedFleet(t, "sapporo-a", "sapporo-b", "ebetsu")
	open := f.openFeedAndConns(10)
	newKeys := t.TempDir()
	for i, p := range f.vms {
		files := f.issueKeys(p.name, fmt.Sprintf("127.0.2.%d", i+1), newKeys)
		old := lhkey.FilesIn(f.keys, p.name)
		assert.NilError(t, os.Rename(files.Key, old.Key))
		assert.NilError(t, os.Rename(files.Certificate, old.Certificate))
	}
	for _, p := range f.vms {
		d := f.awaitDump(p, "using its new keys", func(d lhops.Dump) bool { return d.Counters["keys_renewed"] > 0 })
		assert.Assert(t, d.Authenticated)
	}
	f.verify(open, "renewed")
	f.startVM("ebetsu")
	f.awaitReady()
	f.verify(open, "joined")

	args := []string{"status", "--ca", f.vms[0].ca}
	for _, p := range f.vms {
		args = append(args, p.ops)
	}
	code, stdout, stderr := runCLI(t, args...)
	assert.Equal(t, code, exitOK, "%s%s", stdout, stderr)
	assert.Equal(t, strings.Count(stdout, " authenticated"), len(f.vms), stdout)
	code, _, _ = runCLI(t, "status", f.vms[0].ops)
	assert.Equal(t, code, exitUnavailable)
}

func TestKeysNeverOverwritten(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "keys")
	ca := []string{"keys", "ca", "--group", "hokkaido", dir}
	vmArgs := func(group, name, address string) []string {
		return []string{"keys", "vm", "--group", group, "--name", name, "--address", address, dir}
	}
	vm := vmArgs("hokkaido", "vm", "10.0.0.1")
	cases := []struct {
		name string
		args []string
		code int
		text string
	}{
		{"no authority", vm, exitError, "[105]"},
		{"authority", ca, exitOK, ""},
		{"authority again", ca, exitError, "[109]"},
		{"vm", vm, exitOK, ""},
		{"vm again", vm, exitError, "[109]"},
		{"name is a path", vmArgs("hokkaido", "../vm", "10.0.0.1"), exitUsage, "[2]"},
		{"other group", vmArgs("honshu", "b", "10.0.0.1"), exitError, "[108]"},
		{"bad address", vmArgs("hokkaido", "b", "x"), exitUsage, "[2]"},
		{"no name", []string{"keys", "vm", "--group", "hokkaido", dir}, exitUsage, "[2]"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, _, stderr := runCLI(t, c.args...)
			assert.Equal(t, code, c.code, stderr)
			assert.Assert(t, strings.Contains(stderr, c.text), stderr)
		})
	}
}
