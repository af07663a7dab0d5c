// Package settings loads and validates the YAML settings files of the programs.
// It reports all errors of a file at once, each with the path of the setting.
package settings

import (
	"bytes"
	"fmt"
	"io"
	"os"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"
)

// wholeFile is the Path of problems that can't be attributed to a single setting.
const wholeFile = "(file)"

// Problem is one error in a settings file.
type Problem struct {
	// Path is the path of the setting, such as limits.max_body_bytes.
	Path    string
	Message string
}

// FileError is returned for an invalid settings file, with all its problems.
type FileError struct {
	File     string
	Problems []Problem
}

// Error implements error.
func (e *FileError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	lines = append(lines, fmt.Sprintf("settings %s: %d problem(s)", e.File, len(e.Problems)))
	for _, problem := range e.Problems {
		lines = append(lines, fmt.Sprintf("  %s: %s", problem.Path, problem.Message))
	}
	return strings.Join(lines, "\n")
}

// Load decodes the file into a copy of defaults, and validates the result. Settings that are missing in the file keep
// their defaults. Unknown settings are errors. It returns a *FileError if the file is invalid.
func Load[T any](file string, defaults T) (T, error) {
	data, err := os.ReadFile(file) //nolint:gosec // the path comes from the operator
	if err != nil {
		return defaults, errors.Wrap(err, "settings")
	}
	value, problems := parse(data, defaults)
	if len(problems) > 0 {
		return defaults, &FileError{File: file, Problems: problems}
	}
	return value, nil
}

func parse[T any](data []byte, value T) (T, []Problem) {
	problems := decode(data, &value)
	err := newValidate().Struct(value)
	var invalid validator.ValidationErrors
	if errors.As(err, &invalid) {
		for _, field := range invalid {
			problems = append(problems, newProblem(field))
		}
	}
	return value, problems
}

func decode(data []byte, value any) []Problem {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	err := decoder.Decode(value)
	var typeError *yaml.TypeError
	switch {
	case err == nil || errors.Is(err, io.EOF):
		return nil
	case !errors.As(err, &typeError):
		return []Problem{{Path: wholeFile, Message: err.Error()}}
	}
	var root yaml.Node
	_ = yaml.Unmarshal(data, &root)
	problems := make([]Problem, 0, len(typeError.Errors))
	for _, message := range typeError.Errors {
		problems = append(problems, newTypeProblem(&root, message))
	}
	return problems
}

// newTypeProblem converts an error message of the YAML library, which has the
// line but not the path of the setting.
func newTypeProblem(root *yaml.Node, message string) Problem {
	parts := regexp.MustCompile(`^line (\d+): (.*)$`).FindStringSubmatch(message)
	if parts == nil {
		return Problem{Path: wholeFile, Message: message}
	}
	line, err := strconv.Atoi(parts[1])
	if err != nil {
		return Problem{Path: wholeFile, Message: message}
	}
	return Problem{Path: pathAt(root, line, nil), Message: message}
}

// pathAt returns the path of the innermost setting that starts at or before line. The argument path is that of node.
func pathAt(node *yaml.Node, line int, path []string) string {
	switch node.Kind {
	case yaml.DocumentNode:
		return pathAt(node.Content[0], line, path)
	case yaml.MappingNode:
		for i := len(node.Content) - 2; i >= 0; i -= 2 {
			if node.Content[i].Line <= line {
				return pathAt(node.Content[i+1], line, append(path, node.Content[i].Value))
			}
		}
	case yaml.SequenceNode:
		for i := len(node.Content) - 1; i >= 0; i-- {
			if node.Content[i].Line <= line {
				return pathAt(node.Content[i], line, append(path, strconv.Itoa(i)))
			}
		}
	}
	return strings.Join(path, ".")
}

// newValidate returns a validator that names fields by their YAML keys.
func newValidate() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("yaml"), ",")
		return name
	})
	return validate
}

func newProblem(field validator.FieldError) Problem {
	_, path, _ := strings.Cut(field.Namespace(), ".")
	return Problem{Path: path, Message: describe(field)}
}

// describe returns the message for a field that failed validation.
func describe(field validator.FieldError) string {
	value := field.Value()
	switch field.Tag() {
	case "required":
		return "must be set"
	case "min", "gte":
		return fmt.Sprintf("must be at least %s%s, is %v", field.Param(), lengthUnit(value), value)
	case "max", "lte":
		return fmt.Sprintf("must be at most %s%s, is %v", field.Param(), lengthUnit(value), value)
	case "gtefield":
		return fmt.Sprintf("must be at least %s, is %v", settingKey(field.Param()), value)
	case "oneof":
		return fmt.Sprintf("must be one of %s, is %q", field.Param(), value)
	case "hostname_port", "ip", "url", "http_url":
		return fmt.Sprintf("must be a valid %s, is %q", field.Tag(), value)
	default:
		return fmt.Sprintf("fails %s %s, is %v", field.Tag(), field.Param(), value)
	}
}

// settingKey returns the YAML key of a Go field, such as pack_slots for
// PackSlots.
func settingKey(field string) string {
	key := &strings.Builder{}
	for i, character := range field {
		if unicode.IsUpper(character) && i > 0 {
			key.WriteByte('_')
		}
		key.WriteRune(unicode.ToLower(character))
	}
	return key.String()
}

// lengthUnit returns what a minimum or maximum of the value counts, with a leading space. It is empty for numbers.
func lengthUnit(value any) string {
	switch value.(type) {
	case time.Duration, float64:
		return ""
	}
	switch reflect.ValueOf(value).Kind() {
	case reflect.String:
		return " characters"
	case reflect.Slice, reflect.Map:
		return " element(s)"
	}
	return ""
}
