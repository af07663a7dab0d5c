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

// updateSeed is a seed in whose run VMs are updated while one is cut off.
const updateSeed = 806

// TestShortSoak runs a short plan of one seed, an update and, against regressions, the whole plan of each seed that failed
// once. All run in parallel.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("takes about twenty seconds")
	}
	program := buildGateway(t)
	short, update := soak.DefaultSettings(), soak.DefaultSettings()
	short.Length = 13 * time.Second
	update.VMs, update.Engines, update.Callers = 4, 10, 24
	runs := map[uint64]soak.Settings{1: short, updateSeed: update}
	for _, seed := range seeds(t) {
		runs[seed] = soak.DefaultSettings()
	}
	network := 100 + os.Getpid()%100
	for seed, settings := range runs {
		network++
		settings.Program, settings.Dir, settings.Seed, settings.Network = program, t.TempDir(), seed, network
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			result, err := soak.Run(t.Context(), settings)
			assert.NilError(t, err)
			assert.Equal(t, len(result.Violations), 0, "%s", result)
			assert.Assert(t, result.Succeeded > 0, "%s", result)
		})
	}
}
