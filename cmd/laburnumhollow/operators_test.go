package main

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/laburnumhollow/laburnumhollow/lhops"
)

// fetchFolder fetches the configuration in force into a new folder with the fetch
// command.
func (f *fleet) fetchFolder(name string) string {
	f.t.Helper()
	dir := filepath.Join(f.dir, name)
	code, stdout, stderr := runCLI(f.t, "fetch", dir, "--platform", f.platform.URL())
	assert.Equal(f.t, code, exitOK, "%s%s", stdout, stderr)
	return dir
}

// setWeight sets the weight of a server in a folder.
func setWeight(t *testing.T, dir, server string, weight int) {
	t.Helper()
	path := filepath.Join(dir, "20-"+server+".ini")
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(text, "weight = %d\n", weight), 0o600))
}

// awaitRevision waits until all VMs have at least this revision in force, and checks that
// none has a higher one.
func (f *fleet) awaitRevision(revision uint64) {
	f.t.Helper()
	for _, p := range f.running() {
		d := f.awaitDump(p, fmt.Sprint("at revision ", revision), func(d lhops.Dump) bool { return d.Revision >= revision })
		assert.Equal(f.t, d.Revision, revision)
	}
}

// TestOperatorsRace lets two operators change different files, and then the same file,
// concurrently from the same revision. No change may be lost silently: changes to
// different files both succeed, and of two to the same file one reports a conflict.
func TestOperatorsRace(t *testing.T) {
	f := newFleet(t, "sapporo-a", "ebetsu")
	anna, bert := f.fetchFolder("anna"), f.fetchFolder("bert")
	setWeight(t, anna, "cutdesk-1", 3)
	setWeight(t, bert, "cutdesk-2", 3)
	apply := func(dir string) int {
		code, _, _ := runCLI(t, "apply", dir, "--platform", f.platform.URL())
		return code
	}
	codes := make(chan int, 2)
	for _, dir := range []string{anna, bert} {
		go func() { codes <- apply(dir) }()
	}
	assert.Equal(t, <-codes, exitOK)
	assert.Equal(t, <-codes, exitOK)
	f.awaitRevision(3)

	anna, bert = f.fetchFolder("anna-2"), f.fetchFolder("bert-2")
	setWeight(t, anna, "cutdesk-3", 2)
	setWeight(t, bert, "cutdesk-3", 5)
	for _, dir := range []string{anna, bert} {
		go func() { codes <- apply(dir) }()
	}
	first, second := <-codes, <-codes
	assert.Assert(t, first == exitOK && second == exitConflict || first == exitConflict && second == exitOK,
		"%d and %d", first, second)
	f.awaitRevision(4)
}

// TestPlatformFaults applies changes while the platform is slow, loses replies and is
// down. The exit code of apply must match the outcome, and a VM that starts during the
// outage must get the last accepted revision.
func TestPlatformFaults(t *testing.T) {
	f := newFleet(t, "sapporo-a", "ebetsu")
	dir := f.fetchFolder("anna")
	f.platform.SetDelay(300 * time.Millisecond)
	setWeight(t, dir, "cutdesk-1", 2)
	code, stdout, stderr := runCLI(t, "apply", dir, "--platform", f.platform.URL())
	assert.Equal(t, code, exitOK, "%s%s", stdout, stderr)
	f.platform.SetDelay(0)
	f.awaitRevision(2)

	// The lost reply is the one for the write of the head, the last write of a change.
	f.platform.LoseReplies(3, 1)
	setWeight(t, dir, "cutdesk-2", 2)
	code, stdout, stderr = runCLI(t, "apply", dir, "--platform", f.platform.URL())
	assert.Equal(t, code, exitOK, "%s%s", stdout, stderr)
	f.platform.LoseReplies(0, 0)
	f.awaitRevision(3)

	f.platform.SetDown(true)
	setWeight(t, dir, "cutdesk-3", 2)
	code, _, stderr = runCLI(t, "apply", dir, "--platform", f.platform.URL())
	assert.Equal(t, code, exitUnavailable, stderr)
	f.startVM("ebetsu")
	f.awaitReady()
	f.platform.SetDown(false)
	f.awaitRevision(3)
}

// TestEverythingAtOnce drains a backend server, replaces a VM and kills another at the
// same time, twice, while a feed and idle connections are open.
func TestEverythingAtOnce(t *testing.T) {
	f := newFleet(t, "sapporo-a", "sapporo-b", "ebetsu", "sapporo-a")
	open := f.openFeedAndConns(20)
	for round, server := range []string{"cutdesk-1", "cutdesk-2"} {
		leaving, killed := f.running()[0], f.running()[1]
		f.startVM(leaving.dc)
		f.startVM(killed.dc)
		f.awaitReady()
		drained := make(chan int, 1)
		go func() {
			code, _, _ := runCLI(t, "drain", server, "--platform", f.platform.URL())
			drained <- code
		}()
		f.stopAndKill(leaving, killed)
		assert.Equal(t, <-drained, exitOK)
		f.awaitReady()
		f.awaitRevision(uint64(round + 2))
		f.verify(open, fmt.Sprint("round-", round))
	}
}
