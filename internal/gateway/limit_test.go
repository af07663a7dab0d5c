package gateway_test

import (
	"bufio"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/gateway"
)

// Bounds on what reaches a server that names a limit, from all VMs together, as the platform has them.
const (
	// limitNotice is the time from the first answer that names the limit until it must be heeded.
	limitNotice = 3 * time.Second
	// limitWindow is the time over which requests are counted, limitTimes the multiple of what the limit allows in it
	// that may reach the server, and limitSlack how many more.
	limitWindow = 4 * time.Second
	limitTimes  = 1.5
	limitSlack  = 5
	// objective is when the first answer is due on all routes of the tests.
	objective = 300 * time.Millisecond
)

// names answers like another server, and names a limit on the requests a second from all VMs.
func names(limit float64, answer backend) backend {
	return func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
		writer.Header().Set("Server-Limit", strconv.FormatFloat(limit, 'f', -1, 64))
		answer(world, nth, writer, request)
	}
}

// allowed is how many requests may reach a server in any limitWindow.
func allowed(limit float64) int {
	return int(limitTimes*limit*limitWindow.Seconds() + limitSlack)
}

// busiest returns the most requests within any limitWindow, from a moment on.
func busiest(reached []time.Time, from time.Time) int {
	first, _ := slices.BinarySearchFunc(reached, from, time.Time.Compare)
	return busiestWithin(reached[first:], limitWindow)
}

// Two engines named in each answer how many requests a second they take from all VMs together, 1.4 and 1.1, and got 19
// and 16 in four seconds, where 13 and 12 are allowed. 34 requests of five VMs were placed at the first one in seven
// seconds, each "packed beside short ones" after some 3 ms, while other engines were idle. No VM read what the engines
// named, so a VM alone exceeded it too: here 158 requests came where 13 are allowed, as many as without a limit.
func TestFleetKeepsToLimitsOfServers(t *testing.T) {
	for name, test := range map[string]struct {
		vms     int
		servers int
		// limited is how many servers of each service name the limit.
		limited int
		limit   float64
	}{
		"one of three, 6 VMs":         {vms: 6, servers: 3, limited: 1, limit: 1.4},
		"one of three, a VM":          {vms: 1, servers: 3, limited: 1, limit: 1.4},
		"one of three, less, 6 VMs":   {vms: 6, servers: 3, limited: 1, limit: 0.3},
		"all three, 6 VMs":            {vms: 6, servers: 3, limited: 3, limit: 5},
		"two of three, none, 18 VMs":  {vms: 18, servers: 3, limited: 2, limit: 0},
		"one of six, much, two VMs":   {vms: 2, servers: 6, limited: 1, limit: 20},
		"five of six, little, 18 VMs": {vms: 18, servers: 6, limited: 5, limit: 2},
	} {
		for kind, usual := range usual() {
			t.Run(name+", "+kind, func(t *testing.T) {
				inFleet(t, test.vms, test.servers, func(fleet *fleet) {
					var limited []*fleetServer
					for _, server := range fleet.servers {
						server.script = usual.answers
						if len(limited) < 2*test.limited { // servers of the two services take turns
							server.script = names(test.limit, usual.answers)
							limited = append(limited, server)
						}
					}
					began := time.Now()
					fleet.spread(usual.caller, 8*time.Millisecond, limitNotice+2*limitWindow)
					for _, server := range limited {
						got := busiest(fleet.reached(server.id()), began.Add(limitNotice))
						assert.Check(t, got <= allowed(test.limit), "%d requests in %s, allowed %d", got, limitWindow, allowed(test.limit))
					}
				})
			})
		}
	}
}

// TestCallersAreToldWhenLimitedServersTakeMore: while all servers of a service take fewer requests than come, the others are
// refused soon, truly as not run, with a time to return.
func TestCallersAreToldWhenLimitedServersTakeMore(t *testing.T) {
	for name, usual := range usual() {
		for _, vms := range []int{1, 3} {
			t.Run(strconv.Itoa(vms)+" VMs, "+name, func(t *testing.T) {
				inFleet(t, vms, 1, func(fleet *fleet) {
					for _, server := range fleet.servers {
						server.script = names(1, usual.answers)
					}
					fleet.askFor(usual.caller, 200*time.Millisecond, 3*time.Second)
					answers := fleet.askFor(usual.caller, 200*time.Millisecond, 6*time.Second)
					served := 0
					for _, got := range answers {
						if got.status == http.StatusOK {
							served++
							continue
						}
						assert.Equal(t, got.status, http.StatusServiceUnavailable)
						assert.Assert(t, strings.Contains(got.body, `"not_run":true`), got.body)
						assert.Assert(t, strings.Contains(got.body, "servers_limited"), got.body)
						assert.Assert(t, got.took <= objective, "refused after %s", got.took)
						seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
						assert.NilError(t, err)
						assert.Assert(t, seconds > 0.2 && seconds <= 30, "%v", seconds)
					}
					assert.Assert(t, served >= 5, "%d of %d were served", served, len(answers))
				})
			})
		}
	}
}

// TestStatusShowsLimits asks a VM at the address of its metrics what it knows of servers.
func TestStatusShowsLimits(t *testing.T) {
	fine := answers(http.StatusOK, "fine")
	plains := map[string]backend{"one": names(1.4, fine), "two": fine}
	inWorld(t, nil, plains, func(world *world) {
		world.askFor(plain(http.MethodGet, "look"), 50*time.Millisecond, time.Second)
		conn, err := world.network.Dial(world.t.Context(), readyAddress)
		assert.NilError(t, err)
		defer func() { _ = conn.Close() }()
		_, _ = io.WriteString(conn, "GET /status HTTP/1.1\r\nHost: vm\r\nConnection: close\r\n\r\n")
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err)
		defer func() { _ = response.Body.Close() }()
		var status gateway.Status
		assert.NilError(t, json.NewDecoder(response.Body).Decode(&status))
		assert.Equal(t, status.VM, "vm-1")
		assert.Equal(t, len(status.Servers), 2)
		assert.Equal(t, status.Servers[0].ID, "plain-one")
		assert.Equal(t, status.Servers[0].Limit.PerSecond, 1.4)
		assert.Assert(t, status.Servers[1].Limit == nil)
	})
}
