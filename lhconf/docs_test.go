package lhconf

import (
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// documented returns, for each section and key in the tables of the operators'
// page, whether it is required.
func documented(t *testing.T) map[string]bool {
	t.Helper()
	text, err := os.ReadFile("../docs/OPERATING.md")
	assert.NilError(t, err)
	row := regexp.MustCompile(`(?m)^\| (\w+(?: NAME)?) \| (\w+) \| .+ \| (.+) \|$`)
	keys := make(map[string]bool)
	for _, cells := range row.FindAllStringSubmatch(string(text), -1) {
		keys[cells[1]+"."+cells[2]] = cells[3] == "required"
	}
	delete(keys, "section.key")
	return keys
}

// declared adds the keys of a section to keys, with whether each is required.
func declared[T any](keys map[string]bool, section string, fields []field[T]) {
	for _, f := range fields {
		keys[section+"."+f.key] = f.required
	}
}

func TestOperatorsPageListsEveryKey(t *testing.T) {
	keys := make(map[string]bool)
	for _, s := range settingSections {
		declared(keys, s.name, s.fields)
	}
	declared(keys, serviceSection+" NAME", serviceFields)
	declared(keys, serverSection+" NAME", serverFields)
	declared(keys, kindSection+" NAME", kindFields)
	assert.DeepEqual(t, documented(t), keys)
}
