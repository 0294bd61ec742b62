package lhconf

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// TestParsePlainAgreesWithLibrary checks that parsePlain returns the same as the INI
// library for each line that it accepts.
func TestParsePlainAgreesWithLibrary(t *testing.T) {
	text := rapid.StringOf(rapid.SampledFrom([]rune("ab1-._=[]#;\"'`\\ \t%$:,/é\u00a0")))
	plain := 0
	rapid.Check(t, func(t *rapid.T) {
		text := text.Draw(t, "line")
		if rapid.Bool().Draw(t, "assignment") {
			text = "key = " + text
		}
		got, ok := parsePlain(text)
		if !ok {
			return
		}
		plain++
		want, ok := parseWithLibrary(text)
		assert.Assert(t, ok, "%q", text)
		assert.Equal(t, got, want, "%q", text)
	})
	assert.Assert(t, plain > 10, "only %d lines were plain", plain)
}

func TestParseLine(t *testing.T) {
	cases := []struct {
		text string
		want line
		ok   bool
	}{
		{"", line{}, true},
		{"# a comment", line{}, true},
		{"; a comment", line{}, true},
		{" [server  a ] # comment", line{sectionHeader, "server a", ""}, true},
		{"[DEFAULT] # the library's own name", line{sectionHeader, "DEFAULT", ""}, true},
		{"key = a value", line{assignment, "key", "a value"}, true},
		{"key = value # comment", line{assignment, "key", "value"}, true},
		{"key = http://a/#b", line{assignment, "key", "http://a/#b"}, true},
		{`key = "a # b"`, line{assignment, "key", "a # b"}, true},
		{"key =", line{assignment, "key", ""}, true},
		{"key", line{}, false},
		{"= value", line{}, false},
		{"[server", line{}, false},
		{"key = `open", line{}, false},
		{`key = """open`, line{}, false},
	}
	for _, c := range cases {
		t.Run(c.text, func(t *testing.T) {
			got, ok := parseLine(c.text)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, got, c.want)
		})
	}
}
