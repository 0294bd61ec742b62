package lhentry

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	seeded := false
	flag.Visit(func(f *flag.Flag) { seeded = seeded || f.Name == "rapid.seed" })
	if !seeded && flag.Set("rapid.seed", "1") != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}
