// Command mw-soak runs gateways against stand-ins, injects faults, and checks the guarantees.
// Its flags are described by --help.
package main

import (
	"os"

	"github.com/mastwinch/mastwinch/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(cmd.NewSoakCommand(), os.Args))
}
