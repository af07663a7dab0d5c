package gateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// smallMemory is what the process of a small VM may use here, in bytes.
	smallMemory = 4 << 20
	// largeBody is the size of a body that many at once leave no room for, in bytes.
	largeBody = 60_000
)

// inSmallFleet is inFleet with one VM of small memory.
func inSmallFleet(t *testing.T, test func(fleet *fleet)) {
	t.Helper()
	runFleet(t, 1, 2, &fleet{memory: smallMemory}, test)
}

// metric reads a figure of a VM from its metrics page.
func (fleet *fleet) metric(name string) float64 {
	page := fleet.rawAt("10.0.1.1:81", "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", 0)
	assert.Equal(fleet.t, page.status, http.StatusOK)
	for line := range strings.SplitSeq(page.body, "\n") {
		var value float64
		if _, err := fmt.Sscanf(line, name+" %g", &value); err == nil {
			return value
		}
	}
	return 0
}

// TestManyBodiesAtOnce has a hundred callers who send large bodies in the same moment to servers that are slow to answer.
// The VM keeps no more of them than its part of the memory; it refuses the others at once, before servers get them.
func TestManyBodiesAtOnce(t *testing.T) {
	const most = 0.3 * smallMemory
	for name, length := range map[string]string{"of stated length": "", "in parts": "chunked"} {
		t.Run(name, func(t *testing.T) {
			inSmallFleet(t, func(fleet *fleet) {
				for _, server := range fleet.servers {
					server.script = after(1500*time.Millisecond, answers(http.StatusOK, "fine"))
				}
				large := plain(http.MethodPost, "pay")
				large.body = strings.Repeat("x", largeBody)
				large.chunked = length != ""
				var asking sync.WaitGroup
				statuses := make(chan int, 100)
				for range cap(statuses) {
					asking.Go(func() { statuses <- fleet.ask(large).status })
				}
				time.Sleep(time.Second)
				sent := len(fleet.requests())
				assert.Check(t, sent > 0 && float64(sent*largeBody) <= most, "%d bodies under way", sent)
				assert.Check(t, fleet.metric("mastwinch_body_bytes") <= most)
				asking.Wait()
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

// TestManyAnswersAtOnce has a hundred callers who are slow to read large answers. The VM keeps no more of them than its part
// of the memory, and reads servers no faster; all get their answers, and short answers are not held up meanwhile.
func TestManyAnswersAtOnce(t *testing.T) {
	const most = 0.2 * smallMemory
	inSmallFleet(t, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.script = func(world *world, nth int, writer http.ResponseWriter, request *http.Request) {
				body := "fine"
				if strings.HasSuffix(request.RequestURI, "large") {
					body = strings.Repeat("x", largeBody)
				}
				answers(http.StatusOK, body)(world, nth, writer, request)
			}
		}
		large, short := plain(http.MethodGet, "open"), plain(http.MethodGet, "open")
		large.path += "large"
		var asking sync.WaitGroup
		for range 100 {
			asking.Go(func() {
				got := fleet.askSlowly(large, 300*time.Millisecond)
				assert.Check(t, got.whole && len(got.body) == largeBody, "%d, %d bytes", got.status, len(got.body))
			})
		}
		peak := 0.0
		for range 20 {
			time.Sleep(20 * time.Millisecond)
			peak = max(peak, fleet.metric("mastwinch_answer_bytes"))
			got := fleet.ask(short)
			assert.Check(t, got.whole && got.took < 200*time.Millisecond, "%d after %s", got.status, got.took)
		}
		asking.Wait()
		assert.Check(t, peak > 0 && peak <= most, "%v bytes kept", peak)
		assert.Equal(t, fleet.metric("mastwinch_answer_bytes"), 0.0)
	})
}
