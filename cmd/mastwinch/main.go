// Command mastwinch is the command-line tool for operators.
// Its flags are described by --help.
package main

import (
	"os"

	"github.com/mastwinch/mastwinch/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(cmd.NewMastwinchCommand(), os.Args))
}
