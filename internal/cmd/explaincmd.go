package cmd

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Keys of a log line that have a place of their own in a story.
const (
	keyTime    = "time"
	keyLevel   = "level"
	keyMessage = "msg"
	keyVM      = "vm"
	keyRequest = "request_id"
	keyServer  = "server"
)

// before is how long before its first line what a VM learnt counts to the story
// of a request: a belief about a server is at most this old.
const before = 3 * time.Second

// maxLine bounds a line of a log.
const maxLine = 1 << 20

// logLine is one line of a log.
type logLine struct {
	at      time.Time
	vm      string
	message string
	request string
	// rest has the other fields.
	rest map[string]any
}

// newExplainCommand returns the command that tells the story of one request.
func newExplainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the story of one request from logs",
		ArgsUsage: "ID [FILE...]",
		Description: "Reads lines of JSON from the files, or from standard input, and prints those of the\n" +
			"request in order, with what its VMs learnt meanwhile and in the 3 s before.",
		Action: func(_ context.Context, command *cli.Command) error {
			if command.Args().Len() == 0 {
				return &exitError{code: exitUsage, err: errors.New("the ID of a request is needed")}
			}
			lines, err := readLogs(command.Args().Tail(), command.Root().Reader)
			if err != nil {
				return err
			}
			return explain(command.Root().Writer, command.Args().First(), lines)
		},
	}
}

// readLogs reads the files, or input when there are none.
func readLogs(files []string, input io.Reader) ([]logLine, error) {
	if len(files) == 0 {
		return readLog(input)
	}
	var lines []logLine
	for _, file := range files {
		data, err := os.ReadFile(file) //nolint:gosec // the operator names it
		if err != nil {
			return nil, errors.Wrap(err, "explain")
		}
		read, err := readLog(bytes.NewReader(data))
		if err != nil {
			return nil, err
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// readLog reads lines of JSON. What stands before the brace is left out, and so
// are lines without one, since collectors of logs add their own.
func readLog(input io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal([]byte("{"+text), &fields) != nil {
			continue // not a line of ours
		}
		lines = append(lines, newLogLine(fields))
	}
	return lines, errors.Wrap(scanner.Err(), "explain")
}

func newLogLine(fields map[string]any) logLine {
	text := func(key string) string {
		value, _ := fields[key].(string)
		return value
	}
	at, _ := time.Parse(time.RFC3339Nano, text(keyTime)) // zero sorts first
	line := logLine{at: at, vm: text(keyVM), message: text(keyMessage), request: text(keyRequest), rest: fields}
	for _, key := range []string{keyTime, keyLevel, keyMessage, keyVM, keyRequest} {
		delete(line.rest, key)
	}
	return line
}

// explain prints the story of the request with that ID.
func explain(output io.Writer, id string, lines []logLine) error {
	vms := make(map[string]bool)
	var first, last time.Time
	for _, line := range lines {
		if line.request != id {
			continue
		}
		if len(vms) == 0 || line.at.Before(first) {
			first = line.at
		}
		if line.at.After(last) {
			last = line.at
		}
		vms[line.vm] = true
	}
	if len(vms) == 0 {
		return &exitError{code: exitFailed, err: errors.Newf("no line has the request %q", id)}
	}
	servers := serversOf(id, lines)
	story := slices.DeleteFunc(lines, func(line logLine) bool {
		learnt := line.request == "" && vms[line.vm] && !line.at.Before(first.Add(-before)) && !line.at.After(last)
		server, named := line.rest[keyServer].(string)
		return line.request != id && (!learnt || named && !servers[server])
	})
	slices.SortStableFunc(story, func(a, b logLine) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.vm, b.vm)) })
	for _, line := range story {
		mark := " "
		if line.request == id {
			mark = "*"
		}
		fmt.Fprintf(output, "%s %+9.3fs %s  %s%s\n", mark, line.at.Sub(first).Seconds(), line.vm, line.message, line.fields())
	}
	return nil
}

// serversOf returns the servers that the request had to do with.
func serversOf(id string, lines []logLine) map[string]bool {
	servers := make(map[string]bool)
	for _, line := range lines {
		if line.request != id {
			continue
		}
		for _, key := range []string{keyServer, "at_fault"} {
			if server, ok := line.rest[key].(string); ok {
				servers[server] = true
			}
		}
		helpers, _ := line.rest["helpers"].([]any)
		for _, helper := range helpers {
			if server, ok := helper.(string); ok {
				servers[server] = true
			}
		}
	}
	return servers
}

// fields returns the other fields in the order of their names. Times are in
// nanoseconds on the log.
func (line logLine) fields() string {
	text := &strings.Builder{}
	for _, key := range slices.Sorted(maps.Keys(line.rest)) {
		value := line.rest[key]
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

// durationKeys has the fields that are durations.
func durationKeys() map[string]bool {
	return map[string]bool{
		"took": true, "waited": true, "predicted": true, "part": true, "backlog": true, "version_age": true, "after": true,
	}
}
