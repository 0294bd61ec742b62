package lhconf

import (
	"path/filepath"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// tlsSection is the name of the settings section with the paths of key files.
const tlsSection = "tls"

// TLS holds the paths of a VM's key files. In settings that were read from a file,
// either all paths are set or none.
type TLS struct {
	// CA, Certificate and Key are the paths of PEM files.
	CA          string
	Certificate string
	Key         string
	// SecureOps enables TLS on the operators' address too.
	SecureOps bool
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.CA != "" }

// validate checks that either all paths are set or none.
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
				Allowed: "required if any key of the section is set: " + pathAllowed,
			})
		}
	}
	return problems
}

// resolvePaths returns t with its relative paths resolved against dir.
func (t TLS) resolvePaths(dir string) TLS {
	for _, path := range []*string{&t.CA, &t.Certificate, &t.Key} {
		if *path != "" && !filepath.IsAbs(*path) {
			*path = filepath.Join(dir, *path)
		}
	}
	return t
}

const pathAllowed = "the path of a PEM file, relative to the folder of the settings file"

// pathField parses the path of a file.
func pathField[T any](key string, target func(*T) *string) field[T] {
	return field[T]{
		key:     key,
		allowed: pathAllowed,
		set: func(t *T, value string) lhcode.Code {
			if value == "" {
				return lhcode.SettingInvalid
			}
			*target(t) = value
			return lhcode.OK
		},
	}
}
