package lhconf

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// nameField reads a name.
func nameField[T any](key string, at func(*T) *string) field[T] {
	return field[T]{
		key:     key,
		allowed: nameAllowed,
		set: func(t *T, value string) lhcode.Code {
			if !IsName(value) {
				return lhcode.SettingInvalid
			}
			*at(t) = value
			return lhcode.OK
		},
	}
}

// seedField reads a group's secret in hexadecimal, the upper half first.
func seedField[T any](key string, at func(*T) *lhflow.Seed) field[T] {
	return field[T]{
		key:     key,
		allowed: "32 hexadecimal digits, the same on each VM of the group",
		set: func(t *T, value string) lhcode.Code {
			secret, err := hex.DecodeString(value)
			if err != nil || len(secret) != 16 {
				return lhcode.SettingInvalid
			}
			*at(t) = lhflow.Seed{K0: binary.BigEndian.Uint64(secret[:8]), K1: binary.BigEndian.Uint64(secret[8:])}
			return lhcode.OK
		},
	}
}

// choiceField reads one of several words, each of which stands for a value.
func choiceField[T any, V any](key string, words []string, values []V, at func(*T) *V) field[T] {
	return field[T]{
		key:     key,
		allowed: "one of " + strings.Join(words, ", "),
		set: func(t *T, value string) lhcode.Code {
			for i, w := range words {
				if w == value {
					*at(t) = values[i]
					return lhcode.OK
				}
			}
			return lhcode.SettingInvalid
		},
	}
}

// maxName is the length of the longest name, as in DNS labels.
const maxName = 63

const nameAllowed = "a name of 1 to 63 lower-case letters, digits and inner hyphens"

// IsName reports whether a text has the form of every name that operators choose.
func IsName(text string) bool {
	for i := range len(text) {
		c := text[i]
		letter := c >= 'a' && c <= 'z' || c >= '0' && c <= '9'
		inner := i > 0 && i < len(text)-1
		if !letter && !(c == '-' && inner) {
			return false
		}
	}
	return text != "" && len(text) <= maxName
}
