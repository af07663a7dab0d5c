package soak

import (
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"
)

func TestPanicsInLogsAreViolations(t *testing.T) {
	for name, test := range map[string]struct {
		log  string
		want int
	}{
		"none":         {"{\"msg\":\"ended\"}\n", 0},
		"handler":      {"{\"msg\":\"request handler panicked\",\"request_id\":\"r\"}\n{\"msg\":\"ended\"}\n", 1},
		"process":      {"{\"msg\":\"ended\"}\npanic: broken invariant\n\ngoroutine 1 [running]:\n", 1},
		"no last line": {"{\"msg\":\"request handler panicked\"}", 1},
	} {
		t.Run(name, func(t *testing.T) {
			file := filepath.Join(t.TempDir(), "vm.log")
			assert.NilError(t, os.WriteFile(file, []byte(test.log), 0o600))
			assert.Equal(t, len(panicsIn("vm-1", file)), test.want)
		})
	}
	assert.Equal(t, len(panicsIn("vm-1", "missing")), 1)
}
