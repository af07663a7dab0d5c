package buildinfo

import (
	"encoding/binary"
	"os"
	"os/exec"
	"path/filepath"
	"runtime/debug"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestRevision(t *testing.T) {
	for name, test := range map[string]struct {
		settings []debug.BuildSetting
		want     string
	}{
		"not recorded": {want: Unknown},
		"commit":       {settings: []debug.BuildSetting{{Key: "vcs.revision", Value: "ab12"}, {Key: "vcs.modified", Value: "false"}}, want: "ab12"},
		"with changes": {settings: []debug.BuildSetting{{Key: "vcs.modified", Value: "true"}, {Key: "vcs.revision", Value: "ab12"}}, want: "ab12-modified"},
	} {
		t.Run(name, func(t *testing.T) { assert.Equal(t, revision(test.settings), test.want) })
	}
}

func TestParseNote(t *testing.T) {
	const header = "\x03\x00\x00\x00\x05\x00\x00\x00\x04\x00\x00\x00"
	for name, test := range map[string]struct {
		note    string
		want    string
		wantErr string
	}{
		"whole":            {note: header + "Go\x00\x00a/b/c\x00\x00\x00", want: "a/b/c"},
		"empty":            {wantErr: "read note"},
		"cut":              {note: header + "Go\x00\x00a/", wantErr: "note is cut"},
		"size beyond note": {note: "\xff\xff\xff\xff\xff\xff\xff\xff\x04\x00\x00\x00Go\x00\x00a/b/c", wantErr: "note is cut"},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := parseNote([]byte(test.note), binary.LittleEndian)
			if test.wantErr != "" {
				assert.ErrorContains(t, err, test.wantErr)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, got, test.want)
		})
	}
}

// TestBuildsOfTwoSourcesDiffer guards against a program that was kept from older sources and can't be told from a new one.
func TestBuildsOfTwoSourcesDiffer(t *testing.T) {
	dir := t.TempDir()
	ids := make(map[string]bool)
	for _, text := range []string{"old", "new"} {
		source, program := filepath.Join(dir, text+".go"), filepath.Join(dir, text)
		assert.NilError(t, os.WriteFile(source, []byte("package main\n\nfunc main() { println(\""+text+"\") }\n"), 0o600))
		output, err := exec.CommandContext(t.Context(), "go", "build", "-o", program, source).CombinedOutput()
		assert.NilError(t, err, "%s", output)
		id, err := contentID(program)
		assert.NilError(t, err)
		printed, err := exec.CommandContext(t.Context(), "go", "tool", "buildid", program).Output()
		assert.NilError(t, err)
		assert.Assert(t, strings.HasSuffix(strings.TrimSpace(string(printed)), "/"+id), "%s", printed)
		ids[id] = true
	}
	assert.Equal(t, len(ids), 2)
}
