package main

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestDocsNameTests checks that every test named in the docs exists.
func TestDocsNameTests(t *testing.T) {
	sources, err := filepath.Glob("../../*/*_test.go")
	assert.NilError(t, err)
	nested, err := filepath.Glob("../../*/*/*_test.go")
	assert.NilError(t, err)
	var code strings.Builder
	for _, path := range append(sources, nested...) {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		code.Write(text)
	}
	pages, err := filepath.Glob("../../docs/*.md")
	assert.NilError(t, err)
	named := regexp.MustCompile("`(Test[A-Za-z]+)`")
	for _, path := range pages {
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		for _, match := range named.FindAllSubmatch(text, -1) {
			name := string(match[1])
			assert.Check(t, strings.Contains(code.String(), "func "+name+"("), "%s names %s", path, name)
		}
	}
}
