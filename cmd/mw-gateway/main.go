// Command mw-gateway serves callers' requests on the platform.
// Its flags are described by --help.
package main

import (
	"os"

	"github.com/mastwinch/mastwinch/internal/cmd"
)

func main() {
	os.Exit(cmd.Run(cmd.NewGatewayCommand(), os.Args))
}
