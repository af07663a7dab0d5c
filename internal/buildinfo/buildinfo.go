// Package buildinfo tells which build of the programs a process runs, so that processes of several builds, or of a build that is
// older than the sources beside it, can be told apart.
package buildinfo

import (
	"bytes"
	"debug/elf"
	"encoding/binary"
	"os"
	"runtime/debug"
	"strings"

	"github.com/cockroachdb/errors"
)

// Unknown stands for what a build does not state.
const Unknown = "unknown"

// modifiedSuffix marks a revision whose files had changes that were not committed.
const modifiedSuffix = "-modified"

// Info identifies a build.
type Info struct {
	// Revision is the commit that was built, or Unknown where the build did not record it.
	Revision string
	// ID is the hash of the program's contents, the last part of what `go tool buildid` prints of its file, or Unknown.
	ID string
	// GoVersion is the version of the compiler.
	GoVersion string
}

// Read returns the build that this process runs.
func Read() Info {
	info := Info{Revision: Unknown, ID: Unknown, GoVersion: Unknown}
	if build, ok := debug.ReadBuildInfo(); ok {
		info.Revision, info.GoVersion = revision(build.Settings), build.GoVersion
	}
	if path, err := os.Executable(); err == nil {
		if id, err := contentID(path); err == nil {
			info.ID = id
		}
	}
	return info
}

// String implements fmt.Stringer.
func (info Info) String() string {
	return "revision " + info.Revision + ", build " + info.ID + ", " + info.GoVersion
}

// revision returns the commit among the settings of a build.
func revision(settings []debug.BuildSetting) string {
	values := make(map[string]string, len(settings))
	for _, setting := range settings {
		values[setting.Key] = setting.Value
	}
	found := values["vcs.revision"]
	switch {
	case found == "":
		return Unknown
	case values["vcs.modified"] == "true":
		return found + modifiedSuffix
	default:
		return found
	}
}

// buildIDSection is the section of a Go program that holds its build ID, as a note.
const buildIDSection = ".note.go.buildid"

// contentID returns the last part of the build ID of a program.
func contentID(path string) (string, error) {
	file, err := elf.Open(path)
	if err != nil {
		return "", errors.Wrap(err, "open program")
	}
	defer func() { _ = file.Close() }()
	section := file.Section(buildIDSection)
	if section == nil {
		return "", errors.Newf("%s has no build ID", path)
	}
	note, err := section.Data()
	if err != nil {
		return "", errors.Wrap(err, "read build ID")
	}
	id, err := parseNote(note, file.ByteOrder)
	if err != nil {
		return "", err
	}
	return id[strings.LastIndexByte(id, '/')+1:], nil
}

// parseNote returns the descriptor of an ELF note: after the sizes of the name and of the descriptor, and a type, four bytes each,
// come the name, padded to four bytes, and the descriptor.
func parseNote(note []byte, order binary.ByteOrder) (string, error) {
	var header struct{ NameSize, DescriptorSize, Type uint32 }
	reader := bytes.NewReader(note)
	if err := binary.Read(reader, order, &header); err != nil {
		return "", errors.Wrap(err, "read note")
	}
	const alignment = 4
	padded := (uint64(header.NameSize) + alignment - 1) / alignment * alignment
	descriptor := note[len(note)-reader.Len():]
	if padded+uint64(header.DescriptorSize) > uint64(len(descriptor)) {
		return "", errors.New("note is cut")
	}
	return string(descriptor[padded : padded+uint64(header.DescriptorSize)]), nil
}
