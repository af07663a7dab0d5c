// Command mw-entry accepts callers' requests and tracks each one to its outcome.
// Its flags are described by --help.
package main

import (
	"os"

	"github.com/mastwinch/mastwinch/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(cmd.NewEntryCommand(), os.Args))
}
