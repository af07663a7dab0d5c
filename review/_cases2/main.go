package main

import (
	"fmt"
	"os"
)

// main plays one case: _cases2 NAME RECORD. It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not
// run.
func main() {
	cases := map[string]func(record string, trouble bool) int{"forgotten-connections": forgottenConnections, "lost-answers": lostAnswers, "settings": settingsChange}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: _cases2 NAME RECORD")
		os.Exit(2)
	}
	os.Exit(cases[os.Args[1]](os.Args[2], os.Getenv("TROUBLE") != "0"))
}
