package lhconf

import (
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// field is one key that a section of T may hold.
type field[T any] struct {
	key string
	// allowed describes the permitted values to an operator.
	allowed  string
	required bool
	// set reads a value into T and returns OK, SettingInvalid or SettingRange.
	set func(t *T, value string) lhcode.Code
}

// must returns the field as one that has to be present.
func (f field[T]) must() field[T] {
	f.required = true
	return f
}

// orNone returns the field as one that may stand without a value, which leaves T as it
// is.
func (f field[T]) orNone() field[T] {
	set := f.set
	f.set = func(t *T, value string) lhcode.Code {
		if value == "" {
			return lhcode.OK
		}
		return set(t, value)
	}
	return f
}

// fill sets the fields of t from a section; of two statements for a key the later
// counts. It reports each statement that is unknown or wrong, and each required
// key that is absent.
func fill[T any](t *T, fields []field[T], sec section) Problems {
	var problems Problems
	for _, s := range sec.statements {
		f, ok := find(fields, s.key)
		if !ok {
			problems = append(problems, s.problem(lhcode.SettingUnknown, keys(fields)))
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

// find returns the field of a key.
func find[T any](fields []field[T], key string) (field[T], bool) {
	for _, f := range fields {
		if f.key == key {
			return f, true
		}
	}
	return field[T]{}, false
}

// keys returns the names of fields, as problems with an unknown key list them.
func keys[T any](fields []field[T]) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.key
	}
	return "known keys are " + strings.Join(names, ", ")
}
