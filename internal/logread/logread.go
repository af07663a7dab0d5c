// Package logread parses the logs of VMs, which are JSON lines of log/slog.
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

// Keys of a log line that are decoded into fields of Line, or dropped (the level).
const (
	keyTime      = "time"
	keyLevel     = "level"
	keyMessage   = "msg"
	keyVM        = "vm"
	keyRequestID = "request_id"
)

// maxLineBytes is the maximum length of a log line. Longer lines are an error.
const maxLineBytes = 1 << 20

// Line is one parsed log line.
type Line struct {
	// Timestamp is zero if the line has none, or a malformed one.
	Timestamp time.Time
	VM        string
	Message   string
	// Request is the ID of the line's request, or empty if the line does not belong to one.
	Request string
	// Fields has the values of all other keys, as encoding/json decodes them.
	Fields map[string]any
}

// String returns the value of a string field, or an empty string if it is missing or of another type.
func (line Line) String(key string) string {
	value, _ := line.Fields[key].(string)
	return value
}

// Bool returns the value of a boolean field, or false if it is missing or of another type.
func (line Line) Bool(key string) bool {
	value, _ := line.Fields[key].(bool)
	return value
}

// Int returns the value of a numeric field as an integer, or zero if it is missing or of another type.
func (line Line) Int(key string) int {
	value, _ := line.Fields[key].(float64)
	return int(value)
}

// Duration returns the value of a numeric field, in nanoseconds, or zero if it is missing or of another type.
func (line Line) Duration(key string) time.Duration {
	value, _ := line.Fields[key].(float64)
	return time.Duration(value)
}

// Strings returns the strings of a list field. It is empty if the field is missing or of another type.
func (line Line) Strings(key string) []string {
	values, _ := line.Fields[key].([]any)
	texts := make([]string, 0, len(values))
	for _, value := range values {
		if text, ok := value.(string); ok {
			texts = append(texts, text)
		}
	}
	return texts
}

// ReadFiles parses the lines of all files, or of input if names is empty.
func ReadFiles(names []string, input io.Reader) ([]Line, error) {
	if len(names) == 0 {
		return Read(input)
	}
	var lines []Line
	for _, name := range names {
		data, err := os.ReadFile(name) //nolint:gosec // the path comes from the operator
		if err != nil {
			return nil, errors.Wrap(err, "logread")
		}
		parsed, err := Read(bytes.NewReader(data))
		if err != nil {
			return nil, errors.Wrapf(err, "%s", name)
		}
		lines = append(lines, parsed...)
	}
	return lines, nil
}

// Read parses JSON lines. Log collectors add prefixes and lines of their own, so
// it ignores the text before the first brace, and lines that are not JSON.
func Read(input io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(input)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, text, found := strings.Cut(scanner.Text(), "{")
		if !found {
			continue
		}
		fields := make(map[string]any)
		if json.Unmarshal([]byte("{"+text), &fields) != nil {
			continue // not a line of log/slog
		}
		lines = append(lines, newLine(fields))
	}
	return lines, errors.Wrap(scanner.Err(), "logread")
}

func newLine(fields map[string]any) Line {
	line := Line{Fields: fields}
	line.Timestamp, _ = time.Parse(time.RFC3339Nano, line.String(keyTime)) // lines without a valid time sort first
	line.VM = line.String(keyVM)
	line.Message = line.String(keyMessage)
	line.Request = line.String(keyRequestID)
	for _, key := range []string{keyTime, keyLevel, keyMessage, keyVM, keyRequestID} {
		delete(line.Fields, key)
	}
	return line
}
