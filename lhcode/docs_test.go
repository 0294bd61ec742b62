package lhcode

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// declaredCodes parses code.go and returns the numeric literal of each code by name.
func declaredCodes(t *testing.T) map[string]string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), "code.go", nil, 0)
	assert.NilError(t, err)
	codes := make(map[string]string)
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok {
			return true
		}
		if kind, ok := spec.Type.(*ast.Ident); ok && kind.Name == "Code" {
			codes[spec.Names[0].Name] = spec.Values[0].(*ast.BasicLit).Value
		}
		return true
	})
	return codes
}

// TestCodesAreDocumented guards against a code that is missing from docs/CODES.md,
// listed there twice or with another number, or without a full description.
func TestCodesAreDocumented(t *testing.T) {
	text, err := os.ReadFile("../docs/CODES.md")
	assert.NilError(t, err)
	row := regexp.MustCompile(`(?m)^\| (\d+) \| ([A-Z]\w+) \| (.+) \| (.+) \|$`)
	documented := make(map[string]string)
	for _, cells := range row.FindAllStringSubmatch(string(text), -1) {
		number, name := cells[1], cells[2]
		assert.Assert(t, documented[name] == "", "%s is listed twice", name)
		assert.Assert(t, strings.HasSuffix(cells[3], ".") && strings.HasSuffix(cells[4], "."), "%s lacks a full description", name)
		documented[name] = number
	}
	assert.DeepEqual(t, documented, declaredCodes(t))
}
