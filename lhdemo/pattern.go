package lhdemo

import (
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// Pattern is the behavior of a flow in an experiment.
type Pattern uint8

// The patterns.
const (
	// PatternRequest sends one request and closes.
	PatternRequest Pattern = iota
	// PatternOpen opens and closes without a request.
	PatternOpen
	// PatternHold sends a request, stays idle, sends another, and stays idle once
	// more before it closes.
	PatternHold
	// PatternFeed has the backend server push lines.
	PatternFeed
)

var patternNames = []string{"request", "open", "hold", "feed"}

// PatternNames returns the names of all patterns, separated by commas.
func PatternNames() string { return strings.Join(patternNames, ", ") }

// String returns the name of the pattern.
func (p Pattern) String() string {
	if int(p) < len(patternNames) {
		return patternNames[p]
	}
	return "unknown"
}

// ParsePattern returns the pattern with a name.
func ParsePattern(name string) (Pattern, error) {
	for i, n := range patternNames {
		if n == name {
			return Pattern(i), nil
		}
	}
	return 0, lhcode.Newf(lhcode.Usage, "pattern %q: must be one of %s", name, PatternNames())
}

// feedLineInterval is the time between two lines of a feed.
const feedLineInterval = 20 * time.Millisecond

// load returns a load with the behavior of the pattern. hold is the idle time of a
// flow with PatternHold, and the duration of a feed.
func (p Pattern) load(hold time.Duration, bytes int) lhstand.Load {
	switch p {
	case PatternOpen:
		return lhstand.Load{NoRequest: true}
	case PatternHold:
		return lhstand.Load{Requests: 2, Hold: hold, Request: lhstand.Request{Bytes: bytes}}
	case PatternFeed:
		lines := max(int(hold/feedLineInterval), 1)
		return lhstand.Load{Request: lhstand.Request{Lines: lines, Interval: feedLineInterval}}
	}
	return lhstand.Load{Request: lhstand.Request{Bytes: bytes}}
}
