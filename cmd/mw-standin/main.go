// Command mw-standin simulates the platform and the backend servers.
// Its flags are described by --help.
package main

import (
	"os"

	"github.com/mastwinch/mastwinch/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(cmd.NewStandinCommand(), os.Args))
}
