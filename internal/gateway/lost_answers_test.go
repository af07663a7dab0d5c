package gateway_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// loseAnswers returns a backend that answers, but for so many of five requests in turn, which it handles with lose.
func loseAnswers(ofFive int, lose backend) backend {
	return func(harness *harness, nth int, writer http.ResponseWriter, request *http.Request) {
		if 2*nth%5 < ofFive {
			lose(harness, nth, writer, request)
			return
		}
		responses(http.StatusOK, "fine")(harness, nth, writer, request)
	}
}

// sendNoAnswer returns a backend that sends bytes that are no answer.
func sendNoAnswer(bytes string) backend {
	return func(_ *harness, _ int, writer http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = io.WriteString(conn, bytes)
		_ = conn.Close()
	}
}

// forgetRested returns a backend that answers and resets the connection when it has rested for a moment and the next request comes.
func forgetRested() backend {
	return func(harness *harness, _ int, writer http.ResponseWriter, request *http.Request) {
		conn, buffered, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(err)
		}
		context.AfterFunc(harness.t.Context(), func() { _ = conn.Close() })
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: "+request.Header.Get("Request-Id")+
			"\r\nResponse-Seal: x\r\nKeep-Alive: timeout=30\r\nContent-Length: 4\r\n\r\nfine")
		go func() {
			_, _ = buffered.ReadByte() // of the next request
			_ = conn.Close()
		}()
	}
}

// TestLostAnswersQuarantineNothing guards against refusing a harmless request at all VMs, for ten minutes and after a restart of all of
// them, since its answers or connections were lost: a poll that servers answer most of the time, rare or often.
func TestLostAnswersQuarantineNothing(t *testing.T) {
	for name, script := range map[string]backend{
		"rested connections are reset":   forgetRested(),
		"answers are lost":               loseAnswers(2, closeConnection()),
		"most answers are lost":          loseAnswers(4, closeConnection()),
		"bytes that are no answer":       loseAnswers(2, sendNoAnswer("\x00\x01\x02 no answer\r\n\r\n")),
		"heads with an odd status":       loseAnswers(2, sendNoAnswer("HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n")),
		"answers that end in their body": loseAnswers(2, sendNoAnswer("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfi")),
	} {
		for rate, test := range map[string]struct{ interval, duration time.Duration }{
			"rare":  {2 * time.Second, 2 * time.Minute},
			"often": {50 * time.Millisecond, 10 * time.Second},
		} {
			t.Run(name+", "+rate, func(t *testing.T) {
				withFleet(t, 3, 3, func(fleet *fleet) {
					for _, server := range fleet.servers {
						server.script = script
					}
					fleet.pollHarmlessly(test.interval, test.duration)
					fleet.stopAll()
					fleet.startAll()
					fleet.pollHarmlessly(test.interval, test.duration/2)
				})
			})
		}
	}
}

// pollHarmlessly polls all VMs in turn, and checks that some polls are served and none is refused as one that crashes servers.
func (fleet *fleet) pollHarmlessly(interval, duration time.Duration) {
	served := 0
	for _, got := range fleet.queryRetrying(plainRequest(http.MethodGet, "look"), interval, duration) {
		assert.Assert(fleet.t, !strings.Contains(got.body, "crashes_servers"), got.body)
		if got.status == http.StatusOK {
			served++
		}
	}
	assert.Assert(fleet.t, served > 0)
}
