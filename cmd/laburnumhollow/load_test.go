package main

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	"github.com/laburnumhollow/laburnumhollow/lhdemo"
)

func TestLoad(t *testing.T) {
	path := filepath.Join(t.TempDir(), "report.html")
	code, stdout, stderr := runCLI(t, "load", "--flows", "20", "--at", "10ms drain service1-1", "--report", path, "-o", "json")
	assert.Equal(t, code, exitOK, "%s%s", stdout, stderr)
	var report lhdemo.Report
	assert.NilError(t, json.Unmarshal([]byte(stdout), &report))
	assert.Equal(t, report.Flows[0].Completed, 10)
	page, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.Assert(t, cmp.Contains(string(page), "drain service1-1"))
}

func TestLoadInvalidFlags(t *testing.T) {
	cases := [][]string{
		{"--pattern", "storm"},
		{"--flood-pattern", "storm"},
		{"--at", "soon"},
		{"--loss", "2"},
		{"--reports", "late"},
		{"--report", "report.pdf"},
		{"--flows", "1000000"},
	}
	for _, args := range cases {
		t.Run(args[0], func(t *testing.T) {
			code, _, stderr := runCLI(t, append([]string{"load"}, args...)...)
			assert.Equal(t, code, exitUsage, "%s", stderr)
		})
	}
}
