package lhconf

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

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
