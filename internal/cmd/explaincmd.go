package cmd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/mastwinch/mastwinch/internal/logread"
)

// Keys of log lines that name servers.
const (
	keyServer  = "server"
	keyAtFault = "at_fault"
	keyHelpers = "helpers"
)

// lookback is the time before a request's first line from which lines about the
// state of servers are included. A VM places requests by server state that is up to this old.
const lookback = 3 * time.Second

// newExplainCommand returns the subcommand that prints the log lines that matter for one request.
func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the story of one request from logs",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads lines of JSON from the files, or from standard input, and prints those of the\n" +
			"request in order, with what its VMs learnt meanwhile and in the 3 s before.",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() == 0 {
				return &exitError{code: exitUsage, err: errors.New("a request ID is required")}
			}
			lines, err := logread.ReadFiles(command.Args().Tail(), command.Root().Reader)
			if err != nil {
				return err
			}
			return explain(command.Root().Writer, command.Args().First(), lines)
		},
	}
}

// explain prints the lines of the request with the given ID, marked with an asterisk, and lines of its VMs that belong to
// no request: those about one of its servers and those about no server, from lookback before its first line to its last.
func explain(output io.Writer, id string, lines []logread.Line) error {
	vms := make(map[string]bool)
	var first, last time.Time
	for _, line := range lines {
		if line.Request != id {
			continue
		}
		if len(vms) == 0 || line.Timestamp.Before(first) {
			first = line.Timestamp
		}
		if line.Timestamp.After(last) {
			last = line.Timestamp
		}
		vms[line.VM] = true
	}
	if len(vms) == 0 {
		return &exitError{code: exitFailed, err: errors.Newf("no line belongs to request %q", id)}
	}
	servers := serversOf(id, lines)
	selected := slices.DeleteFunc(lines, func(line logread.Line) bool {
		isContext := line.Request == "" && vms[line.VM] && !line.Timestamp.Before(first.Add(-lookback)) && !line.Timestamp.After(last)
		server, namesServer := line.Fields[keyServer].(string)
		return line.Request != id && (!isContext || namesServer && !servers[server])
	})
	slices.SortStableFunc(selected, func(a, b logread.Line) int { return cmp.Or(a.Timestamp.Compare(b.Timestamp), cmp.Compare(a.VM, b.VM)) })
	for _, line := range selected {
		marker := " "
		if line.Request == id {
			marker = "*"
		}
		fmt.Fprintf(output, "%s %+9.3fs %s  %s%s\n", marker, line.Timestamp.Sub(first).Seconds(), line.VM, line.Message, formatFields(line))
	}
	return nil
}

// serversOf returns the servers that the lines of a request name.
func serversOf(id string, lines []logread.Line) map[string]bool {
	servers := make(map[string]bool)
	for _, line := range lines {
		if line.Request != id {
			continue
		}
		for _, key := range []string{keyServer, keyAtFault} {
			if server, ok := line.Fields[key].(string); ok {
				servers[server] = true
			}
		}
		for _, helper := range line.Strings(keyHelpers) {
			servers[helper] = true
		}
	}
	return servers
}

// formatFields returns the fields of a line, sorted by key. Empty ones are omitted.
// Durations are logged in nanoseconds, and are formatted with a unit.
func formatFields(line logread.Line) string {
	text := &strings.Builder{}
	for _, key := range slices.Sorted(maps.Keys(line.Fields)) {
		value := line.Fields[key]
		if value == "" || value == nil {
			continue
		}
		number, isNumber := value.(float64)
		if isNumber && durationKeys()[key] {
			value = time.Duration(number).Round(time.Microsecond)
		}
		fmt.Fprintf(text, " %s=%v", key, value)
	}
	return text.String()
}

// durationKeys returns the keys of the fields that are durations.
func durationKeys() map[string]bool {
	return map[string]bool{
		"took": true, "waited": true, "predicted": true, "part": true, "backlog": true, "version_age": true, "after": true,
		"objective": true, "gap": true, "placed": true, "first": true, "pause": true,
	}
}
