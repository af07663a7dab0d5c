package gateway_test

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// endless returns a backend that begins a stream with the given bytes and then sends the same block over and over.
func endless(begin, block string, interval time.Duration) backend {
	return func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
		seal(writer, request)
		writer.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(writer, begin)
		writeEndlessly(writer, request, block, interval)
	}
}

// writeEndlessly writes the same bytes over and over until the connection is closed.
func writeEndlessly(writer http.ResponseWriter, request *http.Request, part string, interval time.Duration) {
	for err := error(nil); err == nil && request.Context().Err() == nil; time.Sleep(interval) {
		_, err = io.WriteString(writer, part)
		_ = http.NewResponseController(writer).Flush()
	}
}

// TestBlocksWithoutEndAreNoProgress guards against a server that keeps an attempt, and the caller, by blocks that are no events, or
// by an event that it repeats: another server is tried in time.
func TestBlocksWithoutEndAreNoProgress(t *testing.T) {
	const comment = ": still here\n\n"
	long := ": " + strings.Repeat("x", 1000) + "\n\n"
	for name, test := range map[string]struct {
		begin, block string
		interval     time.Duration
	}{
		"comments":                      {block: comment, interval: 50 * time.Millisecond},
		"many comments":                 {block: long, interval: time.Millisecond},
		"comments after events":         {begin: completeStream(1), block: comment, interval: 50 * time.Millisecond},
		"many comments after events":    {begin: completeStream(1), block: long, interval: time.Millisecond},
		"IDs without data":              {block: "id: 2\n\n", interval: 50 * time.Millisecond},
		"retry times":                   {block: "retry: 5\n\n", interval: 50 * time.Millisecond},
		"blank lines":                   {block: "\n", interval: 10 * time.Millisecond},
		"the same event":                {block: completeStream(1), interval: 50 * time.Millisecond},
		"the same event, many times":    {block: completeStream(1) + long, interval: time.Millisecond},
		"event before the current one":  {begin: completeStream(2), block: completeStream(1), interval: 50 * time.Millisecond},
		"data without end in one event": {begin: "data: ", block: long[1:1000], interval: time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			server := firstThen(endless(test.begin, test.block, test.interval), streamEvents(3, 0))
			withHarness(t, map[string]backend{"one": server, "two": server}, nil, func(harness *harness) {
				startedAt := time.Now()
				got := harness.query(streamRequest("chat"))
				assert.Equal(t, got.status, http.StatusOK, got.body)
				assert.Equal(t, eventsOf(got.body), completeStream(3))
				assert.Assert(t, time.Since(startedAt) < 4*time.Second, "%s", time.Since(startedAt))
				assert.Assert(t, len(got.body) < 80<<10, "%d bytes", len(got.body))
			})
		})
	}
}

// TestBlocksWithoutEndStartNoResponse checks that a request that can't run again gets a failure, and not the head of an answer.
func TestBlocksWithoutEndStartNoResponse(t *testing.T) {
	for name, test := range map[string]struct {
		block    string
		interval time.Duration
		want     int
	}{
		"few":  {": still here\n\n", 50 * time.Millisecond, http.StatusGatewayTimeout},
		"many": {": " + strings.Repeat("x", 1000) + "\n\n", time.Millisecond, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			server := endless("", test.block, test.interval)
			withHarness(t, map[string]backend{"one": server, "two": server}, nil, func(harness *harness) {
				assert.Equal(t, harness.query(streamRequest("bill")).status, test.want)
				assert.Equal(t, len(harness.requests()), 1)
			})
		})
	}
}

// TestCommentsOfASoundStreamArePassedOn checks that the body of a stream is passed on unchanged, comments included.
func TestCommentsOfASoundStreamArePassedOn(t *testing.T) {
	for name, body := range map[string]string{
		"before the first event": ": hello\n\nid: 1\ndata: a\n\n",
		"between":                "id: 1\ndata: a\n\n: wait\n\nid: 2\ndata: b\n\n",
		"after the last":         "id: 1\ndata: a\n\n: bye\n\n",
		"alone":                  ": nothing to say\n\n",
		"with an ID":             "id: 7\n\nid: 8\ndata: a\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			server := func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
				seal(writer, request)
				writer.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(writer, body)
			}
			withHarness(t, map[string]backend{"one": server}, nil, func(harness *harness) {
				got := harness.query(streamRequest("chat"))
				assert.Equal(t, got.status, http.StatusOK)
				assert.Equal(t, got.body, body)
			})
		})
	}
}

// TestCommentsDoNotHideASilentServer checks that comments at a slow caller don't cost the server its time, nor give it more.
func TestCommentsDoNotHideASilentServer(t *testing.T) {
	server := firstThen(endless(completeStream(1), ": wait\n\n", 100*time.Millisecond), streamEvents(3, 0))
	withHarness(t, map[string]backend{"one": server, "two": server}, nil, func(harness *harness) {
		got := harness.queryAndStall(streamRequest("chat"), 500*time.Millisecond)
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, eventsOf(got.body), completeStream(3))
	})
}

// eventsOf returns a stream without its comments.
func eventsOf(body string) string {
	var events []string
	for block := range strings.SplitSeq(body, "\n\n") {
		if strings.Contains(block, "data:") {
			events = append(events, block+"\n\n")
		}
	}
	return strings.Join(events, "")
}
