package cmd_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/buildinfo"
)

// freePorts returns loopback addresses with ports that are currently not in use.
func freePorts(t *testing.T, count int) []net.TCPAddr {
	t.Helper()
	var addresses []net.TCPAddr
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, *listener.Addr().(*net.TCPAddr))
	}
	return addresses
}

// TestSettingsChangeDuringShutdown guards against a SIGHUP that terminates a gateway while it drains after SIGTERM, and
// truncates the responses in flight.
func TestSettingsChangeDuringShutdown(t *testing.T) {
	addresses := freePorts(t, 4)
	site := filepath.Join(t.TempDir(), "site.json")
	settings := fmt.Sprintf(`{"node_name": "vm-1", "zone": "a", "ip": "127.0.0.1",
		"listen_addrs": {"front": %q, "ready": %q}, "port_range": [%d, %d],
		"bounds": {"grace_s": 8, "revoke_ms": 5000, "budget_window_s": 10}, "platform_config": {"address": %q}}`,
		addresses[0].String(), addresses[1].String(), addresses[2].Port, addresses[2].Port, addresses[3].String())
	assert.NilError(t, os.WriteFile(site, []byte(settings), 0o600))
	program, err := os.Executable()
	assert.NilError(t, err)
	command := &exec.Cmd{Path: program, Args: []string{"mw-gateway", "--site", site}}
	output, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	signals := map[string]syscall.Signal{`"gateway serves"`: syscall.SIGTERM, `"gateway drains"`: syscall.SIGHUP}
	logged := &strings.Builder{}
	for lines := bufio.NewScanner(output); lines.Scan(); {
		fmt.Fprintln(logged, lines.Text())
		for line, signal := range signals {
			if strings.Contains(lines.Text(), line) {
				assert.Check(t, command.Process.Signal(signal))
			}
		}
	}
	assert.NilError(t, command.Wait())
	build := `"msg":"starting","vm":"vm-1","revision":"` + buildinfo.Read().Revision + `","build":"` + buildinfo.Read().ID
	assert.Assert(t, strings.Contains(logged.String(), build), logged.String())
	assert.Assert(t, strings.Contains(logged.String(), `"settings read again"`), logged.String())
	assert.Assert(t, strings.Contains(logged.String(), `"gateway stopped"`), logged.String())
}
