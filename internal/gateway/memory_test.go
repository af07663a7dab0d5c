package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// smallMemoryBytes is the memory limit of the process of a small VM.
	smallMemoryBytes = 4 << 20
	// largeBodyBytes is the size of a body of which a small VM can hold only a few at a time.
	largeBodyBytes = 60_000
)

// withSmallFleet is withFleet with one VM that has smallMemoryBytes.
func withSmallFleet(t *testing.T, test func(fleet *fleet)) {
	t.Helper()
	runFleet(t, 1, 2, &fleet{memoryBytes: smallMemoryBytes}, test)
}

// metric reads a metric of the first VM from its metrics page; zero where the metric is missing.
func (fleet *fleet) metric(name string) float64 {
	response := fleet.sendRawTo("10.0.1.1:81", "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 0)
	assert.Equal(fleet.t, response.status, http.StatusOK)
	for line := range strings.SplitSeq(response.body, "\n") {
		var value float64
		if _, err := fmt.Sscanf(line, name+" %g", &value); err == nil {
			return value
		}
	}
	return 0
}

// TestRequestBodiesStayWithinMemory has a hundred callers that send large bodies at the same time to slow servers. The VM
// must buffer no more of them than its share of memory for bodies, and refuse the others before a server receives them.
func TestRequestBodiesStayWithinMemory(t *testing.T) {
	const maxBytes = 0.3 * smallMemoryBytes
	for name, encoding := range map[string]string{"with Content-Length": "", "chunked": "chunked"} {
		t.Run(name, func(t *testing.T) {
			withSmallFleet(t, func(fleet *fleet) {
				for _, server := range fleet.servers {
					server.script = delayed(1500*time.Millisecond, responses(http.StatusOK, "fine"))
				}
				large := plainRequest(http.MethodPost, "pay")
				large.body = strings.Repeat("x", largeBodyBytes)
				large.chunked = encoding != ""
				var callers sync.WaitGroup
				statuses := make(chan int, 100)
				for range cap(statuses) {
					callers.Go(func() { statuses <- fleet.query(large).status })
				}
				time.Sleep(time.Second)
				sent := len(fleet.requests())
				assert.Check(t, sent > 0 && float64(sent*largeBodyBytes) <= maxBytes, "%d bodies in flight", sent)
				assert.Check(t, fleet.metric("mastwinch_body_bytes") <= maxBytes)
				callers.Wait()
				count := make(map[int]int)
				for range cap(statuses) {
					count[<-statuses]++
				}
				assert.Equal(t, count[http.StatusOK], sent)
				assert.Equal(t, count[http.StatusServiceUnavailable], cap(statuses)-sent)
				assert.Equal(t, fleet.metric("mastwinch_body_bytes"), 0.0)
			})
		})
	}
}

// TestResponsesStayWithinMemory has a hundred callers that read large responses slowly. The VM must buffer no more of them
// than its share of memory for responses and apply backpressure to the servers. All callers must receive their responses,
// and short responses must not be delayed meanwhile.
func TestResponsesStayWithinMemory(t *testing.T) {
	const maxBytes = 0.2 * smallMemoryBytes
	withSmallFleet(t, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.script = func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
				body := "fine"
				if strings.HasSuffix(request.RequestURI, "large") {
					body = strings.Repeat("x", largeBodyBytes)
				}
				responses(http.StatusOK, body)(harness, nth, writer, request)
			}
		}
		large, short := plainRequest(http.MethodGet, "open"), plainRequest(http.MethodGet, "open")
		large.path += "large"
		var callers sync.WaitGroup
		for range 100 {
			callers.Go(func() {
				got := fleet.queryAndStall(large, 300*time.Millisecond)
				assert.Check(t, got.complete && len(got.body) == largeBodyBytes, "%d, %d bytes", got.status, len(got.body))
			})
		}
		peak := 0.0
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			peak = max(peak, fleet.metric("mastwinch_answer_bytes"))
			got := fleet.query(short)
			assert.Check(t, got.complete && got.duration < 200*time.Millisecond, "%d after %s", got.status, got.duration)
		}
		callers.Wait()
		assert.Check(t, peak > 0 && peak <= maxBytes, "%v bytes buffered", peak)
		assert.Equal(t, fleet.metric("mastwinch_answer_bytes"), 0.0)
	})
}

// TestAnswersWithoutEndStayWithinMemory has a hundred callers at a small VM whose servers send bodies without end. The VM must buffer
// no more of them than its share of memory for responses, end all requests, and serve again once the servers do.
func TestAnswersWithoutEndStayWithinMemory(t *testing.T) {
	const maxBytes = 0.2 * smallMemoryBytes
	withSmallFleet(t, func(fleet *fleet) {
		var sound atomic.Bool
		for _, server := range fleet.servers {
			server.script = func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
				if sound.Load() {
					responses(http.StatusOK, "fine")(harness, nth, writer, request)
					return
				}
				seal(writer, request)
				writeEndlessly(writer, request, strings.Repeat("x", 4<<10), 10*time.Millisecond)
			}
		}
		var callers sync.WaitGroup
		for range 100 {
			callers.Go(func() {
				got := fleet.query(plainRequest(http.MethodGet, "open"))
				assert.Check(t, got.status >= http.StatusInternalServerError, "%d", got.status)
			})
		}
		peak := 0.0
		for range 50 {
			time.Sleep(20 * time.Millisecond)
			peak = max(peak, fleet.metric("mastwinch_answer_bytes"))
		}
		callers.Wait()
		assert.Check(t, peak > 0 && peak <= maxBytes, "%v bytes buffered", peak)
		assert.Equal(t, fleet.metric("mastwinch_answer_bytes"), 0.0)
		sound.Store(true)
		time.Sleep(15 * time.Second) // servers that failed so often get no requests at first
		got := fleet.query(plainRequest(http.MethodGet, "open"))
		assert.Equal(t, got.status, http.StatusOK, got.body)
	})
}
