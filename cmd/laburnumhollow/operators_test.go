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

// checkout fetches the configuration in force into a folder of its own, as an
// operator does.
func (f *fleet) checkout(name string) string {
	f.t.Helper()
	dir := filepath.Join(f.dir, name)
	code, stdout, stderr := runCLI(f.t, "fetch", dir, "--platform", f.platform.URL())
	assert.Equal(f.t, code, exitOK, "%s%s", stdout, stderr)
	return dir
}

// weight changes the weight of a server in a folder.
func weight(t *testing.T, dir, server string, to int) {
	t.Helper()
	path := filepath.Join(dir, "20-"+server+".ini")
	text, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, fmt.Appendf(text, "weight = %d\n", to), 0o600))
}

// awaitRevision waits until all VMs have a revision in force, and checks that none
// ever has a higher one.
func (f *fleet) awaitRevision(revision uint64) {
	f.t.Helper()
	for _, p := range f.running() {
		d := f.awaitDump(p, fmt.Sprint("at revision ", revision), func(d lhops.Dump) bool { return d.Revision >= revision })
		assert.Equal(f.t, d.Revision, revision)
	}
}

// TestOperatorsRace has two operators change different files, and then the same
// one, from the same starting point. Nobody's change is lost without a word.
func TestOperatorsRace(t *testing.T) {
	f := newFleet(t, "sapporo-a", "ebetsu")
	anna, bert := f.checkout("anna"), f.checkout("bert")
	weight(t, anna, "cutdesk-1", 3)
	weight(t, bert, "cutdesk-2", 3)
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

	anna, bert = f.checkout("anna-2"), f.checkout("bert-2")
	weight(t, anna, "cutdesk-3", 2)
	weight(t, bert, "cutdesk-3", 5)
	for _, dir := range []string{anna, bert} {
		go func() { codes <- apply(dir) }()
	}
	first, second := <-codes, <-codes
	assert.Assert(t, first == exitOK && second == exitConflict || first == exitConflict && second == exitOK,
		"%d and %d", first, second)
	f.awaitRevision(4)
}

// TestPlatformFaults applies changes while the platform is slow, loses replies and
// is down. An apply says what has become of it, and a VM that starts during the
// outage gets what was accepted before.
func TestPlatformFaults(t *testing.T) {
	f := newFleet(t, "sapporo-a", "ebetsu")
	dir := f.checkout("anna")
	f.platform.SetDelay(300 * time.Millisecond)
	weight(t, dir, "cutdesk-1", 2)
	code, stdout, stderr := runCLI(t, "apply", dir, "--platform", f.platform.URL())
	assert.Equal(t, code, exitOK, "%s%s", stdout, stderr)
	f.platform.SetDelay(0)
	f.awaitRevision(2)

	// The reply that is lost is that of the head, the last of the writes.
	f.platform.LoseReplies(3, 1)
	weight(t, dir, "cutdesk-2", 2)
	code, stdout, stderr = runCLI(t, "apply", dir, "--platform", f.platform.URL())
	assert.Equal(t, code, exitOK, "%s%s", stdout, stderr)
	f.platform.LoseReplies(0, 0)
	f.awaitRevision(3)

	f.platform.SetDown(true)
	weight(t, dir, "cutdesk-3", 2)
	code, _, stderr = runCLI(t, "apply", dir, "--platform", f.platform.URL())
	assert.Equal(t, code, exitUnavailable, stderr)
	f.startVM("ebetsu")
	f.awaitReady()
	f.platform.SetDown(false)
	f.awaitRevision(3)
}

// TestEverythingAtOnce drains a backend server, replaces a VM and kills another at
// the same moment, twice, with a feed and idle connections open.
func TestEverythingAtOnce(t *testing.T) {
	f := newFleet(t, "sapporo-a", "sapporo-b", "ebetsu", "sapporo-a")
	h := f.hold(20)
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
		f.end(leaving, killed)
		assert.Equal(t, <-drained, exitOK)
		f.awaitReady()
		f.awaitRevision(uint64(round + 2))
		f.verify(h, fmt.Sprint("round-", round))
	}
}
