package lhconf

import (
	"path/filepath"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// tlsSection is the name of the section that names keys.
const tlsSection = "tls"

// TLS names the keys of a VM. Of settings that were read, either all of its files
// are set or none is.
type TLS struct {
	// CA, Certificate and Key are paths of PEM files.
	CA          string
	Certificate string
	Key         string
	// Operators has operators served by TLS as well.
	Operators bool
}

// Enabled reports whether there are keys.
func (t TLS) Enabled() bool { return t.CA != "" }

// validate checks that there are all files or none.
func (t TLS) validate(name string, sections []section) Problems {
	origin := Origin{File: name}
	for _, sec := range sections {
		if sec.name == tlsSection {
			origin = sec.origin
		}
	}
	if t == (TLS{}) {
		return nil
	}
	var problems Problems
	files := []struct{ key, path string }{{"ca", t.CA}, {"certificate", t.Certificate}, {"key", t.Key}}
	for _, f := range files {
		if f.path == "" {
			problems = append(problems, Problem{
				Origin: origin, Code: lhcode.SettingMissing, Key: tlsSection + "." + f.key,
				Allowed: "required with other keys of the section: " + pathAllowed,
			})
		}
	}
	return problems
}

// within returns t with its relative paths counted from a folder.
func (t TLS) within(dir string) TLS {
	for _, path := range []*string{&t.CA, &t.Certificate, &t.Key} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	return t
}

const pathAllowed = "the path of a PEM file, from the folder of the settings file on"

// pathField reads the path of a file.
func pathField[T any](key string, at func(*T) *string) field[T] {
	return field[T]{
		key:     key,
		allowed: pathAllowed,
		set: func(t *T, value string) lhcode.Code {
			if value == "" {
				return lhcode.SettingInvalid
			}
			*at(t) = value
			return lhcode.OK
		},
	}
}
