package main

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

// write writes a file below root.
func write(t *testing.T, root, path, text string) {
	t.Helper()
	assert.NilError(t, os.MkdirAll(filepath.Join(root, filepath.Dir(path)), 0o750))
	assert.NilError(t, os.WriteFile(filepath.Join(root, path), []byte(text), 0o600))
}

// TestNameLostInOneFolderIsMissing guards against a name that goes on one side of an interface and is not missed, since the
// other side has it too.
func TestNameLostInOneFolderIsMissing(t *testing.T) {
	const header = "package p\n\nconst path = "
	root := t.TempDir()
	write(t, root, "platform/store.go", header+`"/order"`)
	write(t, root, "internal/standin/store.go", header+`"/order"`)
	names, err := collect(root)
	assert.NilError(t, err)
	list := ""
	for name := range names {
		list += name.String() + "\n"
	}
	write(t, root, "list", list)
	missing, err := missingFrom(filepath.Join(root, "list"), names)
	assert.NilError(t, err)
	assert.Equal(t, len(missing), 0)

	write(t, root, "platform/store.go", header+`"/orders"`)
	names, err = collect(root)
	assert.NilError(t, err)
	missing, err = missingFrom(filepath.Join(root, "list"), names)
	assert.NilError(t, err)
	assert.Equal(t, len(missing), 1)
	assert.Equal(t, missing[0], externalName{folder: "platform", name: "/order"})
}

func TestMalformedListIsRejected(t *testing.T) {
	for name, line := range map[string]string{
		"no folder": `"/order"`, "no name": "platform", "name without quotes": "platform /order",
	} {
		t.Run(name, func(t *testing.T) {
			root := t.TempDir()
			write(t, root, "list", line+"\n")
			_, err := missingFrom(filepath.Join(root, "list"), found{})
			assert.ErrorContains(t, err, "folder and a quoted name")
		})
	}
}
