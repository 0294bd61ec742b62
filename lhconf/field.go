package lhconf

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhflow"
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

// number is a type that a whole number is read into.
type number interface {
	~int | ~uint8 | ~uint32 | ~uint64
}

// numberField reads a whole number from low to high.
func numberField[T any, N number](key string, low, high uint64, at func(*T) *N) field[T] {
	return field[T]{
		key:     key,
		allowed: fmt.Sprintf("a whole number from %d to %d", low, high),
		set: func(t *T, value string) lhcode.Code {
			n, err := strconv.ParseUint(value, 10, 64)
			if err != nil {
				return lhcode.SettingInvalid
			}
			if n < low || n > high {
				return lhcode.SettingRange
			}
			*at(t) = N(n)
			return lhcode.OK
		},
	}
}

// durationField reads a duration with its unit from low to high.
func durationField[T any](key string, low, high time.Duration, at func(*T) *time.Duration) field[T] {
	return field[T]{
		key:     key,
		allowed: fmt.Sprintf("a duration with a unit (ms, s, m, h) from %v to %v", low, high),
		set: func(t *T, value string) lhcode.Code {
			d, err := time.ParseDuration(value)
			if err != nil || value == "0" {
				return lhcode.SettingInvalid
			}
			if d < low || d > high {
				return lhcode.SettingRange
			}
			*at(t) = d
			return lhcode.OK
		},
	}
}

// rateUnits are the units of a rate, in bytes a second; the longer ones first.
var rateUnits = []struct {
	suffix string
	bytes  uint64
}{{"KB/s", 1000}, {"MB/s", 1000 * 1000}, {"B/s", 1}}

// rateField reads a rate in bytes a second with its unit.
func rateField[T any](key string, low, high uint64, at func(*T) *int) field[T] {
	return field[T]{
		key:     key,
		allowed: fmt.Sprintf("a rate with a unit (B/s, KB/s, MB/s) from %dB/s to %dB/s", low, high),
		set: func(t *T, value string) lhcode.Code {
			rate, ok := parseRate(value, high)
			if !ok {
				return lhcode.SettingInvalid
			}
			if rate < low || rate > high {
				return lhcode.SettingRange
			}
			*at(t) = int(rate)
			return lhcode.OK
		},
	}
}

// parseRate returns a rate in bytes a second; anything over limit becomes limit+1.
func parseRate(value string, limit uint64) (uint64, bool) {
	for _, u := range rateUnits {
		digits, ok := strings.CutSuffix(value, u.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(strings.TrimSpace(digits), 10, 64)
		if err != nil {
			return 0, false
		}
		return min(n, limit/u.bytes+1) * u.bytes, true
	}
	return 0, false
}

// endpointField reads an IP address with a port of at least lowPort.
func endpointField[T any](key string, lowPort uint16, at func(*T) *netip.AddrPort) field[T] {
	return field[T]{
		key:     key,
		allowed: fmt.Sprintf("an IP address with a port from %d to 65535, such as 10.0.1.11:6081 or [fd00::11]:6081", lowPort),
		set: func(t *T, value string) lhcode.Code {
			return setEndpoint(value, lowPort, at(t))
		},
	}
}

// endpointsField reads a list of IP addresses with ports.
func endpointsField[T any](key string, at func(*T) *[]netip.AddrPort) field[T] {
	return field[T]{
		key:     key,
		allowed: "IP addresses with ports from 1 to 65535, parted by commas",
		set: func(t *T, value string) lhcode.Code {
			var list []netip.AddrPort
			for _, part := range strings.Split(value, ",") {
				var e netip.AddrPort
				if code := setEndpoint(strings.TrimSpace(part), 1, &e); code != lhcode.OK {
					return code
				}
				list = append(list, e)
			}
			*at(t) = list
			return lhcode.OK
		},
	}
}

func setEndpoint(value string, lowPort uint16, to *netip.AddrPort) lhcode.Code {
	e, err := netip.ParseAddrPort(value)
	if err != nil || e.Addr().Zone() != "" {
		return lhcode.SettingInvalid
	}
	if e.Port() < lowPort {
		return lhcode.SettingRange
	}
	*to = netip.AddrPortFrom(e.Addr().Unmap(), e.Port())
	return lhcode.OK
}

// addressesField reads a list of IP addresses.
func addressesField[T any](key string, at func(*T) *[]netip.Addr) field[T] {
	return field[T]{
		key:     key,
		allowed: "IP addresses without ports, parted by commas",
		set: func(t *T, value string) lhcode.Code {
			var list []netip.Addr
			for _, part := range strings.Split(value, ",") {
				a, err := netip.ParseAddr(strings.TrimSpace(part))
				if err != nil || a.Zone() != "" {
					return lhcode.SettingInvalid
				}
				list = append(list, a.Unmap())
			}
			*at(t) = list
			return lhcode.OK
		},
	}
}

// maxName is the length of the longest name, as in DNS labels.
const maxName = 63

const nameAllowed = "a name of 1 to 63 lower-case letters, digits and inner hyphens"

// isName reports whether a text has the form of every name that operators choose.
func isName(text string) bool {
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

// nameField reads a name.
func nameField[T any](key string, at func(*T) *string) field[T] {
	return field[T]{
		key:     key,
		allowed: nameAllowed,
		set: func(t *T, value string) lhcode.Code {
			if !isName(value) {
				return lhcode.SettingInvalid
			}
			*at(t) = value
			return lhcode.OK
		},
	}
}

// urlField reads a URL of the HTTP schemes.
func urlField[T any](key string, at func(*T) *string) field[T] {
	return field[T]{
		key:     key,
		allowed: "a URL that begins with http:// or https:// and names a host",
		set: func(t *T, value string) lhcode.Code {
			u, err := url.Parse(value)
			if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
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

// prefixField reads an address prefix without host bits.
func prefixField[T any](key string, at func(*T) *netip.Prefix) field[T] {
	return field[T]{
		key:     key,
		allowed: "an address prefix without host bits, such as 10.20.0.0/16",
		set: func(t *T, value string) lhcode.Code {
			p, err := netip.ParsePrefix(value)
			if err != nil || p != p.Masked() {
				return lhcode.SettingInvalid
			}
			*at(t) = p
			return lhcode.OK
		},
	}
}

// keys returns the names of fields, as problems with an unknown key list them.
func keys[T any](fields []field[T]) string {
	names := make([]string, len(fields))
	for i, f := range fields {
		names[i] = f.key
	}
	return "known keys are " + strings.Join(names, ", ")
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
