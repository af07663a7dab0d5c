package backend_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/backend"
)

// endlessAnswers are answers whose bytes never end, each as what is sent first and then over and over.
func endlessAnswers() map[string][2]string {
	const head = "HTTP/1.1 200 OK\r\n"
	zeros := strings.Repeat("0", 1<<10)
	return map[string][2]string{
		"status line":       {"HTTP/1.1 200 ", zeros},
		"field":             {head + "A: ", zeros},
		"fields":            {head, strings.Repeat("A: b\r\n", 128)},
		"informational":     {"", "HTTP/1.1 103 x\r\n\r\n"},
		"text in one frame": {head + "Backend-Attempt: 1\r\nConnection: close\r\n\r\n{\"seq\":0,\"text\":\"", zeros},
		"blanks":            {head + "Backend-Attempt: 1\r\nConnection: close\r\n\r\n", strings.Repeat(" \n", 512)},
		"chunks":            {head + "Backend-Attempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + zeros + "\r\n"},
		"chunk extension":   {head + "Backend-Attempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n1;", zeros},
		"trailer":           {head + "Backend-Attempt: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: ", zeros},
	}
}

// serveEndless starts a server that answers each request without end, and returns its address.
func serveEndless(t *testing.T, answer [2]string, pause time.Duration) string {
	t.Helper()
	return listen(t, func(conn net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, err := io.WriteString(conn, answer[0])
		for err == nil {
			_, err = io.WriteString(conn, answer[1])
			time.Sleep(pause)
		}
	})
}

// TestAnswersWithoutEndAreBounded guards against an answer without end that is read until the deadline, into memory.
func TestAnswersWithoutEndAreBounded(t *testing.T) {
	const maxBytes = 128 << 20 // a call's own limit is 16 MiB, read into a buffer that grows
	for name, answer := range endlessAnswers() {
		t.Run(name, func(t *testing.T) {
			address := serveEndless(t, answer, 0)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			httpBackend := backend.NewHTTPBackend()
			_, err := httpBackend.Call(ctx, address, backend.Dispatch{Attempt: "1"})
			assert.Assert(t, err != nil)
			stream, err := httpBackend.Generate(ctx, address, backend.Dispatch{Attempt: "1"})
			for frames := 0; err == nil; frames++ {
				assert.Assert(t, frames < 10)
				_, err = stream.Next()
			}
			if stream != nil {
				stream.Close()
			}
			_, err = httpBackend.Load(ctx, address)
			assert.Assert(t, err != nil)
			runtime.ReadMemStats(&after)
			assert.NilError(t, ctx.Err())
			grown := int64(after.HeapSys) - int64(before.HeapSys)
			assert.Assert(t, grown < maxBytes, "%d bytes", grown)
		})
	}
}

// TestBytesAfterTheLastFrameDelayNothing guards against a ready answer that is held back until its server has sent more bytes.
func TestBytesAfterTheLastFrameDelayNothing(t *testing.T) {
	address := serveEndless(t, [2]string{
		"HTTP/1.1 200 OK\r\nBackend-Attempt: 1\r\nConnection: close\r\n\r\n{\"seq\":0,\"end\":\"completed\"}\n", "x",
	}, 50*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	stream, err := backend.NewHTTPBackend().Generate(ctx, address, backend.Dispatch{Attempt: "1"})
	assert.NilError(t, err)
	frame, err := stream.Next()
	assert.NilError(t, err)
	assert.Equal(t, frame.End, backend.EndCompleted)
	stream.Close()
	assert.NilError(t, ctx.Err())
}
