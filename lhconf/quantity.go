package lhconf

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
)

// integer is the constraint of the types that hold whole numbers.
type integer interface {
	~int | ~uint8 | ~uint32 | ~uint64
}

// numberField parses a whole number from low to high.
func numberField[T any, N integer](key string, low, high uint64, target func(*T) *N) field[T] {
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
			*target(t) = N(n)
			return lhcode.OK
		},
	}
}

// decimalField parses a decimal number from low to high.
func decimalField[T any](key string, low, high float64, target func(*T) *float64) field[T] {
	return field[T]{
		key:     key,
		allowed: fmt.Sprintf("a number from %g to %g", low, high),
		set: func(t *T, value string) lhcode.Code {
			n, err := strconv.ParseFloat(value, 64)
			if err != nil || math.IsNaN(n) {
				return lhcode.SettingInvalid
			}
			if n < low || n > high {
				return lhcode.SettingRange
			}
			*target(t) = n
			return lhcode.OK
		},
	}
}

// durationField parses a duration with a unit, from low to high.
func durationField[T any](key string, low, high time.Duration, target func(*T) *time.Duration) field[T] {
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
			*target(t) = d
			return lhcode.OK
		},
	}
}

// rateUnits are the units of a rate in bytes per second. B/s is last because it is a
// suffix of the others.
var rateUnits = []struct {
	suffix string
	bytes  uint64
}{{"KB/s", 1000}, {"MB/s", 1000 * 1000}, {"B/s", 1}}

// rateField parses a rate with a unit, from low to high bytes per second.
func rateField[T any](key string, low, high uint64, target func(*T) *int) field[T] {
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
			*target(t) = int(rate)
			return lhcode.OK
		},
	}
}

// parseRate returns a rate in bytes per second. It returns a value above limit for any
// rate above it, which avoids an overflow.
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
