package lhconf

import (
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
)

// nameField parses a name; see IsName.
func nameField[T any](key string, target func(*T) *string) field[T] {
	return field[T]{
		key:     key,
		allowed: nameAllowed,
		set: func(t *T, value string) lhcode.Code {
			if !IsName(value) {
				return lhcode.SettingInvalid
			}
			*target(t) = value
			return lhcode.OK
		},
	}
}

// seedField parses a group's secret in hexadecimal. K0 is the first half and K1 the
// second, both in big-endian byte order.
func seedField[T any](key string, target func(*T) *lhflow.Seed) field[T] {
	return field[T]{
		key:     key,
		allowed: "32 hexadecimal digits, the same on each VM of the group",
		set: func(t *T, value string) lhcode.Code {
			secret, err := hex.DecodeString(value)
			if err != nil || len(secret) != 16 {
				return lhcode.SettingInvalid
			}
			*target(t) = lhflow.Seed{K0: binary.BigEndian.Uint64(secret[:8]), K1: binary.BigEndian.Uint64(secret[8:])}
			return lhcode.OK
		},
	}
}

// choiceField parses one of several words; words[i] selects values[i].
func choiceField[T any, V any](key string, words []string, values []V, target func(*T) *V) field[T] {
	return field[T]{
		key:     key,
		allowed: "one of " + strings.Join(words, ", "),
		set: func(t *T, value string) lhcode.Code {
			for i, w := range words {
				if w == value {
					*target(t) = values[i]
					return lhcode.OK
				}
			}
			return lhcode.SettingInvalid
		},
	}
}

// maxName is the maximum length of a name, the same as that of a DNS label.
const maxName = 63

const nameAllowed = "a name of 1 to 63 lower-case letters, digits and inner hyphens"

// IsName reports whether text is a valid name of a VM, data centre, group, service,
// server or kind: 1 to 63 lower-case letters, digits and inner hyphens.
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
