// Command mw-keeper follows the platform's log and VM list for the processes of its VM.
// Its flags are described by --help.
package main

import (
	"os"

	"github.com/mastwinch/mastwinch/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(cmd.NewKeeperCommand(), os.Args))
}
