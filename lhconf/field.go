package lhconf

import (
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// field is the schema of one key in a section that is decoded into T.
type field[T any] struct {
	key string
	// allowed describes the valid values in error messages.
	allowed  string
	required bool
	// set parses a value into T and returns OK, SettingInvalid or SettingRange.
	set func(t *T, value string) lhcode.Code
}

// asRequired returns a copy of the field whose key must be present.
func (f field[T]) asRequired() field[T] {
	f.required = true
	return f
}

// allowEmpty returns a copy of the field that accepts an empty value, which leaves T
// unchanged.
func (f field[T]) allowEmpty() field[T] {
	set := f.set
	f.set = func(t *T, value string) lhcode.Code {
		if value == "" {
			return lhcode.OK
		}
		return set(t, value)
	}
	return f
}

// decodeSection sets the fields of t from a section. If a key occurs twice, the last
// statement wins. It reports each unknown key, each invalid value and each missing
// required key.
func decodeSection[T any](t *T, fields []field[T], sec section) Problems {
	var problems Problems
	for _, s := range sec.statements {
		f, ok := findField(fields, s.key)
		if !ok {
			problems = append(problems, s.problem(lhcode.SettingUnknown, knownKeys(fields)))
			continue
		}
		if code := f.set(t, s.value); code != lhcode.OK {
			problems = append(problems, s.problem(code, f.allowed))
		}
	}
	for _, f := range fields {
		if f.required && !sec.has(f.key) {
			problems = append(problems, Problem{
				Origin: sec.origin, Code: lhcode.SettingMissing, Key: sec.name + "." + f.key, Allowed: "required: " + f.allowed,
			})
		}
	}
	return problems
}

// findField returns the field with the given key.
func findField[T any](fields []field[T], key string) (field[T], bool) {
	for _, f := range fields {
		if f.key == key {
			return f, true
		}
	}
	return field[T]{}, false
}

// knownKeys lists the keys of fields for the problem of an unknown key.
func knownKeys[T any](fields []field[T]) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.key
	}
	return "known keys are " + strings.Join(names, ", ")
}
