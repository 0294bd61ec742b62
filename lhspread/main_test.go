package lhspread

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes property tests use a fixed seed unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed").Value; seed.String() == "0" && seed.Set("1") != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}
