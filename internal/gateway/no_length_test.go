package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wholeAnswer is the body of all answers of withoutLength to plain requests.
const wholeAnswer = "an answer that states no length"

// partsOfStream is the number of parts in which withoutLength sends a stream, more than a plain answer has.
const partsOfStream = 9

// peerOfFirstVM is the address at which the second VM of a fleet serves the first one.
const peerOfFirstVM = "10.0.1.2:82"

// ending is what happens after a part of an answer was sent.
type ending string

const (
	endsWhole      ending = "nothing happens"
	resetByServer  ending = "the server resets the connection"
	resetAfterLast ending = "the server resets the connection after the last byte"
	otherVMDies    ending = "the VM that it leads through dies"
)

// withoutLength returns a backend whose answers state no length and end with their connection. sent is how many parts of an answer are
// sent before the ending happens. The others are sent after it.
func withoutLength(sent int, ending ending) backend {
	return func(harness *harness, _ int, writer http.ResponseWriter, request *http.Request) {
		parts, contentType := strings.SplitAfter(wholeAnswer, " "), "text/plain"
		if request.Header.Get("Token-Counts") != "" {
			parts, contentType = strings.SplitAfter(completeStream(3), "\n"), "text/event-stream"
			if resumesAt := request.Header.Get("Last-Event-Id"); resumesAt != "" {
				_, rest, _ := strings.Cut(completeStream(3), "piece "+resumesAt+"\n\n")
				parts = strings.SplitAfter(rest, "\n")
			}
		}
		conn, buffered, err := http.NewResponseController(writer).Hijack()
		if err != nil {
			panic(err)
		}
		defer func() { _ = conn.Close() }()
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: x\r\nContent-Type: %s\r\nConnection: close\r\n\r\n",
			request.Header.Get("Request-Id"), contentType)
		send := func(parts []string) {
			for _, part := range parts {
				_, _ = buffered.WriteString(part)
				_ = buffered.Flush()
				time.Sleep(10 * time.Millisecond)
			}
		}
		sent := min(sent, len(parts))
		send(parts[:sent])
		switch ending {
		case endsWhole:
		case resetByServer:
			conn.(interface{ Reset() }).Reset()
		case resetAfterLast:
			send(parts[sent:])
			conn.(interface{ Reset() }).Reset()
		case otherVMDies:
			harness.network.CloseAccepted(peerOfFirstVM)
		}
		send(parts[sent:])
	}
}

// kindOfAnswer is a kind of request, and what callers are to get for it.
type kindOfAnswer struct {
	request    callerRequest
	repeatable bool
	resumable  bool
	whole      string
}

// isServedAfter reports whether a request is to be served although its first answer had an ending after a number of parts.
func (kind kindOfAnswer) isServedAfter(ending ending, sent int) bool {
	if kind.resumable && (ending == resetAfterLast || sent == partsOfStream) {
		return false // what is resumed after the last event has nothing to say that it is whole
	}
	return kind.repeatable
}

// TestAnswersWithoutALength guards against part of an answer without a length passing as the whole: after a reset by the server, or the
// death of another VM, on the way through that VM.
func TestAnswersWithoutALength(t *testing.T) {
	for way, endings := range map[string][]ending{
		"direct":       {endsWhole, resetByServer, resetAfterLast},
		"through a VM": {endsWhole, resetByServer, resetAfterLast, otherVMDies},
	} {
		for _, ending := range endings {
			for name, kind := range kindsOfAnswers() {
				t.Run(fmt.Sprintf("%s, %s, %s", way, ending, name), func(t *testing.T) {
					for sent := range partsOfStream + 1 {
						got := queryWithoutLength(t, way == "direct", ending, kind.request, sent)
						checkAnswer(t, got, kind.whole, ending == endsWhole || kind.isServedAfter(ending, sent))
					}
				})
			}
		}
	}
}

// checkAnswer checks that a caller got the whole answer, or, unless it is to be served, a failure that is not told as not run.
func checkAnswer(t *testing.T, got callerResponse, whole string, isServed bool) {
	t.Helper()
	if got.status == http.StatusOK && got.complete {
		assert.Equal(t, got.body, whole)
		return
	}
	assert.Assert(t, !isServed, "%d %s", got.status, got.body)
	isNotRun := slices.Contains([]int{408, 421, 429, 503}, got.status)
	assert.Assert(t, !isNotRun, "%d for a request that ran", got.status)
}

// queryWithoutLength sends a request to a VM, direct or cut off from the servers, where the first answer has an ending and all others
// are whole.
func queryWithoutLength(t *testing.T, isDirect bool, ending ending, request callerRequest, sent int) (got callerResponse) {
	t.Helper()
	withFleet(t, 2, 2, func(fleet *fleet) {
		for _, server := range fleet.servers {
			server.script = firstThen(withoutLength(sent, ending), withoutLength(sent, endsWhole))
		}
		if !isDirect {
			fleet.vms[0].network.begin(cutRefuses, serverPrefix)
		}
		got = fleet.query(request)
	})
	return got
}
