// Command externalnames collects the names that leave the processes: keys of
// JSON, YAML and TOML, fields and enum values of wire types, headers, paths,
// reasons, flags, commands, environment variables, metrics and their labels, and
// what the log readers match.
//
//	go run ./scripts/externalnames > FILE     # one folder and name a line, sorted
//	go run ./scripts/externalnames FILE       # exits with 1 if a name of FILE is missing
//
// A name counts for each folder by itself, since both sides of an interface have it and may not lose it alone.
//
// Every string literal of the programs that may be such a name counts as one.
// Messages of errors and of log lines, struct tags of other kinds, and texts of
// several words do not, unless the text is a typed constant or a log reader has it.
package main

import (
	"bufio"
	"cmp"
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// logReaders are the folders and files whose literals are matched against log
// lines or printed for operators.
var logReaders = []string{"internal/logread/", "internal/losses/", "internal/cmd/explaincmd.go"} //nolint:gochecknoglobals // a constant list

// protoName matches what a line of a proto file declares.
var protoName = regexp.MustCompile(`^\s*(?:(?:repeated|optional)\s+)?(?:[\w.<>, ]+\s+)?(\w+)\s*=\s*\d+`)

// loggers are the methods whose first text is the message of a log line.
var loggers = []string{"Debug", "Info", "Warn", "Error", "DebugContext", "InfoContext", "WarnContext", "ErrorContext"} //nolint:gochecknoglobals // a constant list

func main() {
	names, err := collect(".")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	if len(os.Args) < 2 {
		for _, name := range slices.SortedFunc(maps.Keys(names), externalName.compare) {
			fmt.Println(name)
		}
		return
	}
	missing, err := missingFrom(os.Args[1], names)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	for _, name := range missing {
		fmt.Fprintln(os.Stderr, "missing:", name)
	}
	if len(missing) > 0 {
		os.Exit(1)
	}
}

// externalName is a name that leaves the processes, and the folder whose code has it, relative to the root.
type externalName struct {
	folder string
	name   string
}

// String returns the name as a line of the list.
func (name externalName) String() string {
	return name.folder + " " + strconv.Quote(name.name)
}

// compare orders names by folder.
func (name externalName) compare(other externalName) int {
	return cmp.Or(cmp.Compare(name.folder, other.folder), cmp.Compare(name.name, other.name))
}

// parseName parses a line of the list.
func parseName(line string) (externalName, error) {
	folder, quoted, _ := strings.Cut(line, " ")
	name, err := strconv.Unquote(quoted)
	if err != nil {
		return externalName{}, fmt.Errorf("%q is not a folder and a quoted name: %w", line, err)
	}
	return externalName{folder: folder, name: name}, nil
}

// found holds names.
type found map[externalName]bool

// adder returns a function that adds names of a file.
func (found found) adder(root, path string) (func(name string), error) {
	folder, err := filepath.Rel(root, filepath.Dir(path))
	if err != nil {
		return nil, err
	}
	return func(name string) { found[externalName{folder: filepath.ToSlash(folder), name: name}] = true }, nil
}

// collect returns the names in the programs and wire types below root.
func collect(root string) (found, error) {
	names := make(found)
	err := filepath.WalkDir(root, func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		add, err := names.adder(root, path)
		switch {
		case err != nil:
			return err
		case entry.IsDir() && (entry.Name() == "scripts" || entry.Name() == "tools" || entry.Name() == "testdata" || entry.Name() != root && strings.HasPrefix(entry.Name(), ".")):
			return filepath.SkipDir
		case strings.HasSuffix(path, ".proto"):
			return collectProto(path, add)
		case strings.HasSuffix(path, "_test.go") || strings.HasSuffix(path, ".pb.go"):
			return nil
		case strings.HasSuffix(path, ".go"):
			return collectGo(root, path, add)
		default:
			return nil
		}
	})
	return names, err
}

// collectProto adds the fields and enum values of a proto file.
func collectProto(path string, add func(string)) error {
	text, err := os.ReadFile(path) //nolint:gosec // a file of the project
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(text)) {
		if match := protoName.FindStringSubmatch(line); match != nil {
			add(match[1])
		}
	}
	return nil
}

// collectGo adds the literals of a Go file.
func collectGo(root, path string, add func(string)) error {
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	if err != nil {
		return err
	}
	isReader := slices.ContainsFunc(logReaders, func(reader string) bool { return strings.HasPrefix(path, filepath.Join(root, reader)) })
	left := messages(file)
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.ImportSpec:
			return false
		case *ast.Field:
			addTag(node.Tag, add)
			return true
		case *ast.ValueSpec:
			for _, value := range node.Values {
				if literal, isLiteral := value.(*ast.BasicLit); isLiteral && node.Type != nil {
					addLiteral(literal, true, add)
				}
			}
		case *ast.BasicLit:
			if !left[node] {
				addLiteral(node, isReader, add)
			}
		}
		return true
	})
	return nil
}

// messages returns the literals of a file that are the text of an error or the
// message of a log line, and its struct tags, which are looked at on their own.
func messages(file *ast.File) map[*ast.BasicLit]bool {
	found := make(map[*ast.BasicLit]bool)
	ast.Inspect(file, func(node ast.Node) bool {
		switch node := node.(type) {
		case *ast.Field:
			found[node.Tag] = true
		case *ast.CallExpr:
			for _, argument := range messageArguments(node) {
				if literal, isLiteral := argument.(*ast.BasicLit); isLiteral {
					found[literal] = true
				}
			}
		}
		return true
	})
	return found
}

func messageArguments(call *ast.CallExpr) []ast.Expr {
	selector, isSelector := call.Fun.(*ast.SelectorExpr)
	if !isSelector {
		return nil
	}
	if owner, isName := selector.X.(*ast.Ident); isName && owner.Name == "errors" {
		return call.Args
	}
	if slices.Contains(loggers, selector.Sel.Name) && len(call.Args) > 0 {
		return call.Args[:min(2, len(call.Args))]
	}
	return nil
}

// addTag adds the names that a struct tag gives to a field.
func addTag(tag *ast.BasicLit, add func(string)) {
	if tag == nil {
		return
	}
	text, _ := strconv.Unquote(tag.Value) // a tag that was parsed is a literal
	for _, kind := range []string{"json", "yaml", "toml"} {
		name, _, _ := strings.Cut(reflect.StructTag(text).Get(kind), ",")
		if name != "" && name != "-" {
			add(name)
		}
	}
}

// addLiteral adds a literal; one of several words only if any is wanted.
func addLiteral(literal *ast.BasicLit, anyText bool, add func(string)) {
	if literal.Kind != token.STRING {
		return
	}
	text, _ := strconv.Unquote(literal.Value) // a literal that was parsed has quotes
	if strings.TrimSpace(text) == "" || !anyText && strings.ContainsAny(text, " \n%") {
		return
	}
	add(text)
}

// missingFrom returns the names of a list that are not among those found.
func missingFrom(path string, names found) ([]externalName, error) {
	file, err := os.Open(path) //nolint:gosec // named on the command line
	if err != nil {
		return nil, err
	}
	defer file.Close() //nolint:errcheck // nothing was written
	var missing []externalName
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, err := parseName(lines.Text())
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		if !names[name] {
			missing = append(missing, name)
		}
	}
	return missing, lines.Err()
}
