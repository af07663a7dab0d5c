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

// story is what is known of a request from its lines.
type story struct {
	id string
	// vms has the VMs that logged the lines, and first and last the times of the first and last one.
	vms         map[string]bool
	first, last time.Time
	// servers has the servers that the lines name.
	servers map[string]bool
	// verdict is why the request was refused, if isRefused.
	verdict   verdict
	isRefused bool
}

// newStory returns the story of the request with the given ID, and false if no line belongs to it.
func newStory(id string, lines []logread.Line) (story, bool) {
	found := story{id: id, vms: make(map[string]bool), servers: serversOf(id, lines)}
	for _, line := range lines {
		if line.Request != id {
			continue
		}
		if len(found.vms) == 0 || line.Timestamp.Before(found.first) {
			found.first = line.Timestamp
		}
		if line.Timestamp.After(found.last) {
			found.last = line.Timestamp
		}
		found.vms[line.VM] = true
	}
	found.verdict, found.isRefused = newVerdict(id, lines)
	return found, len(found.vms) > 0
}

// marker returns what a line is marked with, and false if it is not part of the story.
func (story story) marker(line logread.Line) (string, bool) {
	if line.Request == story.id {
		return "*", true
	}
	if story.isRefused && story.verdict.explains(line) {
		return "!", true
	}
	isNear := !line.Timestamp.Before(story.first.Add(-lookback)) && !line.Timestamp.After(story.last)
	if line.Request != "" || !story.vms[line.VM] || !isNear {
		return "", false
	}
	server, namesServer := line.Fields[keyServer].(string)
	return " ", !namesServer || story.servers[server]
}

// explain prints the lines of the request with the given ID, marked with an asterisk, and lines of its VMs that belong to
// no request: those about one of its servers and those about no server, from lookback before its first line to its last. Of a request
// that was refused since servers crash under it, it prints the lines of all VMs about the verdict too, marked with an exclamation mark.
func explain(output io.Writer, id string, lines []logread.Line) error {
	story, found := newStory(id, lines)
	if !found {
		return &exitError{code: exitFailed, err: errors.Newf("no line belongs to request %q", id)}
	}
	slices.SortStableFunc(lines, func(a, b logread.Line) int { return cmp.Or(a.Timestamp.Compare(b.Timestamp), cmp.Compare(a.VM, b.VM)) })
	for _, line := range lines {
		if marker, isPart := story.marker(line); isPart {
			fmt.Fprintf(output, "%s %+9.3fs %s  %s%s\n", marker, line.Timestamp.Sub(story.first).Seconds(), line.VM, line.Message, formatFields(line))
		}
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
