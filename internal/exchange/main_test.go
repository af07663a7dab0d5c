package exchange_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property-based tests, so that all runs draw the same cases unless the command line sets
// another seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid declares this flag
	flag.Int(flagLargeFleet, 0, "the number of VMs of large fleets; zero selects the default sizes")
	flag.Parse()
	os.Exit(m.Run())
}
