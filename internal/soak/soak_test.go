package soak_test

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/soak"
)

// buildGateway builds the gateway and returns the path of the program.
func buildGateway(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "mw-gateway")
	build := exec.Command("go", "build", "-o", program, "github.com/mastwinch/mastwinch/cmd/mw-gateway")
	output, err := build.CombinedOutput()
	assert.NilError(t, err, "%s", output)
	return program
}

// seeds returns the seeds of runs that failed once, from testdata/soak-seeds.
func seeds(t *testing.T) []uint64 {
	t.Helper()
	file, err := os.Open(filepath.Join("testdata", "soak-seeds"))
	assert.NilError(t, err)
	defer func() { _ = file.Close() }()
	var found []uint64
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		text, _, _ := strings.Cut(lines.Text(), " ")
		if text == "" || text == "#" {
			continue
		}
		seed, err := strconv.ParseUint(text, 10, 64)
		assert.NilError(t, err)
		found = append(found, seed)
	}
	return found
}

// TestShortSoak runs a short plan of one seed and, against regressions, the whole plan of each seed that failed
// once. All run in parallel.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about twenty seconds")
	}
	program := buildGateway(t)
	runs := map[uint64]time.Duration{1: 13 * time.Second}
	for _, seed := range seeds(t) {
		runs[seed] = soak.DefaultSettings().Length
	}
	network := 100 + os.Getpid()%100
	for seed, length := range runs {
		network++
		settings := soak.DefaultSettings()
		settings.Program, settings.Dir, settings.Seed, settings.Length = program, t.TempDir(), seed, length
		settings.Network = network
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result, err := soak.Run(t.Context(), settings)
			assert.NilError(t, err)
			assert.Equal(t, len(result.Violations), 0, "%s", result)
			assert.Assert(t, result.Succeeded > 0, "%s", result)
		})
	}
}
