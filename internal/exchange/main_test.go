package exchange_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain makes the random checks the same in every run, unless the command
// line gives another seed.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1") // rapid has declared it
	flag.Int(flagWhole, 0, "how many VMs whole fleets have")
	flag.Parse()
	os.Exit(m.Run())
}
