package soak

import (
	"bufio"
	"os"
	"strings"

	"github.com/mastwinch/mastwinch/internal/panics"
)

// checkPanics returns a violation for each line about a panic in the logs of the VMs.
func (environment *environment) checkPanics() []Violation {
	var violations []Violation
	for _, vm := range environment.vms {
		violations = append(violations, panicsIn(vm.name, vm.process.output.Name())...)
	}
	return violations
}

// panicsIn returns a violation for each line about a panic in a VM's log.
func panicsIn(vm, file string) []Violation {
	output, err := os.Open(file) //nolint:gosec // a file of this run
	if err != nil {
		return []Violation{{Invariant: InvariantNoPanic, What: vm + ": " + err.Error()}}
	}
	defer func() { _ = output.Close() }() // it was only read
	var violations []Violation
	lines := bufio.NewReader(output)
	for {
		line, err := lines.ReadString('\n')
		if strings.Contains(line, panics.Message) || strings.HasPrefix(line, "panic: ") {
			violations = append(violations, Violation{Invariant: InvariantNoPanic, What: vm + ": " + strings.TrimSpace(line)})
		}
		if err != nil {
			return violations
		}
	}
}
