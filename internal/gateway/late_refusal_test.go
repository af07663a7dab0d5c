package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateRefusals are plain servers that refuse half of all tries with a status, and send each refusal once more, late: before
// the response to the next request on the connection, or to a later one.
type lateRefusals struct {
	harness *harness
	status  int

	mu     sync.Mutex
	random *rand.Rand
	// runs counts how often each request ran.
	runs  map[string]int
	conns []net.Conn
}

// start starts a server at an address.
func (lateRefusals *lateRefusals) start(id, address string) io.Closer {
	listener, err := lateRefusals.harness.network.Listen(lateRefusals.harness.t.Context(), address)
	assert.NilError(lateRefusals.harness.t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			lateRefusals.mu.Lock()
			lateRefusals.conns = append(lateRefusals.conns, conn)
			lateRefusals.mu.Unlock()
			go lateRefusals.serve(conn, id, address)
		}
	}()
	lateRefusals.harness.putServer(id, "plain", address, "ready")
	return listener
}

// serve serves one connection.
func (lateRefusals *lateRefusals) serve(conn net.Conn, server, address string) {
	reader := bufio.NewReader(conn)
	var due []string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Request-Id")
		if len(due) > 0 && lateRefusals.flip() {
			_, _ = io.WriteString(conn, due[0])
			due = due[1:]
		}
		if lateRefusals.flip() {
			// Without At-Server a 421 would say that the server is gone.
			refusal := fmt.Sprintf("HTTP/1.1 %d refused\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nAt-Server: %s\r\nContent-Length: 0\r\n\r\n", lateRefusals.status, id, address)
			due = append(due, refusal)
			_, _ = io.WriteString(conn, refusal)
			continue
		}
		lateRefusals.mu.Lock()
		lateRefusals.runs[id]++
		lateRefusals.mu.Unlock()
		time.Sleep(20 * time.Millisecond)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\nContent-Length: 3\r\n\r\nran", id, server)
	}
}

func (lateRefusals *lateRefusals) flip() bool {
	lateRefusals.mu.Lock()
	defer lateRefusals.mu.Unlock()
	return lateRefusals.random.IntN(2) == 0
}

func (lateRefusals *lateRefusals) runsOf(id string) int {
	lateRefusals.mu.Lock()
	defer lateRefusals.mu.Unlock()
	return lateRefusals.runs[id]
}

func (lateRefusals *lateRefusals) closeConns() {
	lateRefusals.mu.Lock()
	defer lateRefusals.mu.Unlock()
	for _, conn := range lateRefusals.conns {
		_ = conn.Close()
	}
}

// TestLateRefusalIsNotTakenForTheNextTry guards against a late second copy of a refusal being taken for the response to a later
// try of the same request: requests that must run once ran several times, and some that ran were refused as not run.
func TestLateRefusalIsNotTakenForTheNextTry(t *testing.T) {
	for _, status := range []int{
		http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout,
		http.StatusMisdirectedRequest, http.StatusBadRequest,
	} {
		for seed := range uint64(3) {
			t.Run(fmt.Sprint(status, ", seed ", seed), func(t *testing.T) {
				withHarness(t, nil, nil, func(harness *harness) {
					servers := &lateRefusals{harness: harness, status: status, random: rand.New(rand.NewPCG(seed, 1)), runs: make(map[string]int)}
					defer servers.closeConns()
					for number := range 2 {
						listener := servers.start(fmt.Sprint("late-", number), fmt.Sprintf("10.0.3.%d:80", number))
						defer func() { _ = listener.Close() }()
					}
					time.Sleep(time.Second)
					servers.checkRequests(4, 60)
				})
			})
		}
	}
}

// checkRequests has callers send requests that must run once, one after the other, and checks the response to each.
func (lateRefusals *lateRefusals) checkRequests(callers, requests int) {
	t := lateRefusals.harness.t
	var served atomic.Int64
	var group sync.WaitGroup
	for caller := range callers {
		group.Go(func() {
			for number := range requests {
				id := fmt.Sprintf("caller-%d-%d", caller, number)
				response := lateRefusals.harness.query(plainRequest(http.MethodPost, "pay").with("Request-Id", id))
				runs := lateRefusals.runsOf(id)
				assert.Check(t, runs <= 1, "request %s ran %d times", id, runs)
				isNotRun := slices.Contains([]int{408, 421, 429, 503}, response.status)
				assert.Check(t, runs == 0 || !isNotRun, "request %s ran and got %d", id, response.status)
				if response.status == http.StatusOK {
					served.Add(1)
				}
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	group.Wait()
	assert.Assert(t, int(served.Load()) > callers*requests/2, "%d served", served.Load())
}
