package lhconf

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed so that the property tests are reproducible.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
