// Package logread reads the logs of VMs: lines of JSON as log/slog writes them.
package logread

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Keys of a log line that have a field of their own.
const (
	keyTime    = "time"
	keyLevel   = "level"
	keyMessage = "msg"
	keyVM      = "vm"
	keyRequest = "request_id"
)

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Line is one line of a log.
type Line struct {
	// At is zero when the line tells no time.
	At      time.Time
	VM      string
	Message string
	// Request is the ID of the request that the line is about, or empty.
	Request string
	// Rest has the other fields.
	Rest map[string]any
}

// Text returns a field that is a text, or nothing.
func (line Line) Text(key string) string {
	value, _ := line.Rest[key].(string)
	return value
}

// Flag returns a field that is true or false, or false.
func (line Line) Flag(key string) bool {
	value, _ := line.Rest[key].(bool)
	return value
}

// Count returns a field that is a whole number, or zero.
func (line Line) Count(key string) int {
	value, _ := line.Rest[key].(float64)
	return int(value)
}

// Duration returns a field that is a time in nanoseconds, or zero.
func (line Line) Duration(key string) time.Duration {
	value, _ := line.Rest[key].(float64)
	return time.Duration(value)
}

// Texts returns a field that is a list of texts, or none.
func (line Line) Texts(key string) []string {
	values, _ := line.Rest[key].([]any)
	texts := make([]string, 0, len(values))
	for _, value := range values {
		if text, ok := value.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// Files reads the files, or input when none is named.
func Files(names []string, input io.Reader) ([]Line, error) {
	if len(names) == 0 {
		return Read(input)
	}
	var lines []Line
	for _, name := range names {
		data, err := os.ReadFile(name) //nolint:gosec // the operator names it
		if err != nil {
			return nil, errors.Wrap(err, "logread")
		}
		read, err := Read(bytes.NewReader(data))
		if err != nil {
			return nil, errors.Wrapf(err, "%s", name)
		}
		lines = append(lines, read...)
	}
	return lines, nil
}

// Read reads lines of JSON. What stands before the brace is left out, and so are
// lines without one, since collectors of logs add their own.
func Read(input io.Reader) ([]Line, error) {
	var lines []Line
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
		lines = append(lines, newLine(fields))
	}
	return lines, errors.Wrap(scanner.Err(), "logread")
}

func newLine(fields map[string]any) Line {
	line := Line{Rest: fields}
	line.At, _ = time.Parse(time.RFC3339Nano, line.Text(keyTime)) // zero sorts first
	line.VM = line.Text(keyVM)
	line.Message = line.Text(keyMessage)
	line.Request = line.Text(keyRequest)
	for _, key := range []string{keyTime, keyLevel, keyMessage, keyVM, keyRequest} {
		delete(line.Rest, key)
	}
	return line
}
