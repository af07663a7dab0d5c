// Command mw-load sends a mix of requests, verifies every response and reports latencies.
// Its flags are described by --help.
package main

import (
	"os"

	"github.com/mastwinch/mastwinch/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(cmd.NewLoadCommand(), os.Args))
}
