package lhmark

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" && seed.Set("1") != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}
