package cmd_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

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

// writeSettings writes the settings file of a VM that has four addresses.
func writeSettings(t *testing.T, site string, addresses []net.TCPAddr, bounds string) {
	t.Helper()
	settings := fmt.Sprintf(`{"node_name": "vm-1", "zone": "a", "ip": "127.0.0.1",
		"listen_addrs": {"front": %q, "ready": %q}, "port_range": [%d, %d],
		"bounds": %s, "platform_config": {"address": %q}}`,
		addresses[0].String(), addresses[1].String(), addresses[2].Port, addresses[2].Port, bounds, addresses[3].String())
	assert.NilError(t, os.WriteFile(site, []byte(settings), 0o600))
}

// startGateway starts a gateway and returns its output.
func startGateway(t *testing.T, site string) (*exec.Cmd, io.Reader) {
	t.Helper()
	program, err := os.Executable()
	assert.NilError(t, err)
	command := &exec.Cmd{Path: program, Args: []string{"mw-gateway", "--site", site}}
	output, err := command.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, command.Start())
	return command, output
}

// TestGatewaysStartAgainAfterAnyReload guards against bounds that a reload refuses, so that no process starts again once all
// have ended, and against a file that no process can start with and nobody sees.
func TestGatewaysStartAgainAfterAnyReload(t *testing.T) {
	site := filepath.Join(t.TempDir(), "site.json")
	addresses := freePorts(t, 4)
	for _, bounds := range []string{`{"revoke_ms": 5000}`, `{"revoke_ms": 4500.5}`, `{"revoke_ms": 4500.0, "grace_s": "x"}`, `{}`} {
		writeSettings(t, site, addresses, bounds)
		command, output := startGateway(t, site)
		served, rejected := false, false
		for lines := bufio.NewScanner(output); lines.Scan(); {
			switch line := lines.Text(); {
			case strings.Contains(line, `"gateway serves"`):
				served = true
				assert.Check(t, strings.Contains(readMetrics(t, addresses[1]), "mastwinch_settings_rejected 0"))
				assert.NilError(t, os.WriteFile(site, []byte("{"), 0o600))
				assert.NilError(t, command.Process.Signal(syscall.SIGHUP))
			case strings.Contains(line, `"reloading the settings failed`):
				rejected = true
				assert.Check(t, strings.Contains(readMetrics(t, addresses[1]), "mastwinch_settings_rejected 1"))
				assert.NilError(t, command.Process.Kill())
			}
		}
		_ = command.Wait() // it was killed
		assert.Check(t, served && rejected, bounds)
	}
}

// readMetrics returns the metrics of the gateway with a ready address. Its listener may open later than it says that it serves.
func readMetrics(t *testing.T, ready net.TCPAddr) string {
	t.Helper()
	var body []byte
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		response, err := http.Get("http://" + ready.String() + "/metrics")
		if err != nil {
			return poll.Continue("%v", err)
		}
		defer func() { _ = response.Body.Close() }()
		body, err = io.ReadAll(response.Body)
		assert.NilError(t, err)
		return poll.Success()
	}, poll.WithTimeout(time.Minute))
	return string(body)
}

// TestSettingsChangeDuringShutdown guards against a SIGHUP that terminates a gateway while it drains after SIGTERM, and
// truncates the responses in flight.
func TestSettingsChangeDuringShutdown(t *testing.T) {
	site := filepath.Join(t.TempDir(), "site.json")
	writeSettings(t, site, freePorts(t, 4), `{"grace_s": 8, "revoke_ms": 5000, "budget_window_s": 10}`)
	command, output := startGateway(t, site)
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
