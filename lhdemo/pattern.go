package lhdemo

import (
	"strings"
	"time"

	"github.com/laburnumhollow/laburnumhollow/lhcode"
	"github.com/laburnumhollow/laburnumhollow/lhstand"
)

// Pattern is what the flows of an experiment do.
type Pattern uint8

// The patterns.
const (
	// PatternRequest carries one request and closes.
	PatternRequest Pattern = iota
	// PatternOpen opens and closes without a request.
	PatternOpen
	// PatternHold carries a request, stays idle, carries another, and stays idle
	// once more before it closes.
	PatternHold
	// PatternFeed has the backend server push lines.
	PatternFeed
)

var patternNames = []string{"request", "open", "hold", "feed"}

// PatternNames returns the names of all patterns.
func PatternNames() string { return strings.Join(patternNames, ", ") }

// String returns the pattern's name.
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
	return 0, lhcode.Newf(lhcode.Usage, "pattern %q is none of %s", name, PatternNames())
}

// feedLineInterval is the time between two lines of a feed.
const feedLineInterval = 20 * time.Millisecond

// load returns what one flow of the pattern does. Hold is the idle time of a held
// flow, and the whole time of a feed.
func (p Pattern) load(hold time.Duration, bytes int) lhstand.Load {
	switch p {
	case PatternOpen:
		return lhstand.Load{NoRequest: true}
	case PatternHold:
		return lhstand.Load{Requests: 2, Hold: hold, Request: lhstand.Request{Bytes: bytes}}
	case PatternFeed:
		lines := max(int(hold/feedLineInterval), 1)
		return lhstand.Load{Request: lhstand.Request{Lines: lines, Gap: feedLineInterval}}
	}
	return lhstand.Load{Request: lhstand.Request{Bytes: bytes}}
}
