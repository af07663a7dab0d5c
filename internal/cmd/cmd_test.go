package cmd_test

import (
	"os"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/mastwinch/mastwinch/internal/cmd"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"mastwinch":  func() { os.Exit(cmd.Run(cmd.NewMastwinchCommand(), os.Args)) },
		"mw-entry":   func() { os.Exit(cmd.Run(cmd.NewEntryCommand(), os.Args)) },
		"mw-gateway": func() { os.Exit(cmd.Run(cmd.NewGatewayCommand(), os.Args)) },
		"mw-keeper":  func() { os.Exit(cmd.Run(cmd.NewKeeperCommand(), os.Args)) },
		"mw-load":    func() { os.Exit(cmd.Run(cmd.NewLoadCommand(), os.Args)) },
		"mw-standin": func() { os.Exit(cmd.Run(cmd.NewStandinCommand(), os.Args)) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/scripts",
		RequireExplicitExec: true,
		RequireUniqueNames:  true,
	})
}
