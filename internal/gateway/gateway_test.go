package gateway_test

import (
	"bufio"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestResponses checks the response that a caller receives for each behaviour of the servers. Both servers of a service run
// the same script.
func TestResponses(t *testing.T) {
	tests := map[string]struct {
		backend       backend
		callerRequest callerRequest
		wantStatus    int
		wantBody      string
		// wantRuns is the number of times that servers must receive the request.
		wantRuns int
		// wantCut means that the response must end with an error.
		wantCut bool
	}{
		"plain response is forwarded": {
			backend: responses(http.StatusOK, "found"), callerRequest: plainRequest(http.MethodPost, "pay"),
			wantStatus: http.StatusOK, wantBody: "found", wantRuns: 1,
		},
		"client error is forwarded": {
			backend: responses(http.StatusNotFound, "none"), callerRequest: plainRequest(http.MethodGet, "look"),
			wantStatus: http.StatusNotFound, wantBody: "none", wantRuns: 1,
		},
		"repeatable request is retried after a failure": {
			backend:       firstThen(responses(http.StatusInternalServerError, "no"), responses(http.StatusOK, "yes")),
			callerRequest: plainRequest(http.MethodGet, "look"), wantStatus: http.StatusOK, wantBody: "yes", wantRuns: 2,
		},
		"failure of the last server is forwarded": {
			backend: responses(http.StatusInternalServerError, "no"), callerRequest: plainRequest(http.MethodGet, "look"),
			wantStatus: http.StatusInternalServerError, wantBody: "no", wantRuns: 2,
		},
		"non-repeatable request is not retried after a failure": {
			backend: responses(http.StatusInternalServerError, "no"), callerRequest: plainRequest(http.MethodPost, "pay"),
			wantStatus: http.StatusInternalServerError, wantBody: "no", wantRuns: 1,
		},
		"non-repeatable request is not retried after a closed connection": {
			backend: closeConnection(), callerRequest: plainRequest(http.MethodPost, "pay"),
			wantStatus: http.StatusBadGateway, wantRuns: 1,
		},
		"non-repeatable request is retried after a server did not run it": {
			backend:       firstThen(refuse(http.StatusServiceUnavailable), responses(http.StatusOK, "yes")),
			callerRequest: plainRequest(http.MethodPost, "pay"), wantStatus: http.StatusOK, wantBody: "yes", wantRuns: 2,
		},
		"non-repeatable request is retried after another instance refused it": {
			backend:       firstThen(refuse(http.StatusMisdirectedRequest), responses(http.StatusOK, "yes")),
			callerRequest: plainRequest(http.MethodPost, "pay"), wantStatus: http.StatusOK, wantBody: "yes", wantRuns: 2,
		},
		"repeatable request is retried after a closed connection": {
			backend: firstThen(closeConnection(), responses(http.StatusOK, "yes")), callerRequest: plainRequest(http.MethodGet, "look"),
			wantStatus: http.StatusOK, wantBody: "yes", wantRuns: 2,
		},
		"repeatable request is retried after a timeout": {
			backend: firstThen(hang(), responses(http.StatusOK, "yes")), callerRequest: plainRequest(http.MethodGet, "look"),
			wantStatus: http.StatusOK, wantBody: "yes", wantRuns: 2,
		},
		"success without Response-Seal is rejected": {
			backend: func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
				writer.Header().Set("Request-Id", request.Header.Get("Request-Id"))
				_, _ = writer.Write([]byte("forged"))
			},
			callerRequest: plainRequest(http.MethodPost, "pay"), wantStatus: http.StatusBadGateway, wantRuns: 1,
		},
		"response to another request is rejected": {
			backend: func(_ *harness, _ int, writer http.ResponseWriter, _ *http.Request) {
				writer.Header().Set("Request-Id", "of-another")
				writer.Header().Set("Response-Seal", "x")
				_, _ = writer.Write([]byte("of another"))
			},
			callerRequest: plainRequest(http.MethodPost, "pay"), wantStatus: http.StatusGatewayTimeout, wantRuns: 1,
		},
		"success with Content-Encoding is rejected": {
			backend: func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
				seal(writer, request)
				writer.Header().Set("Content-Encoding", "gzip")
				_, _ = writer.Write([]byte("zipped"))
			},
			callerRequest: plainRequest(http.MethodPost, "pay"), wantStatus: http.StatusBadGateway, wantRuns: 1,
		},
		"truncated response is rejected": {
			backend: func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
				seal(writer, request)
				writer.Header().Set("Content-Length", "100")
				_, _ = writer.Write([]byte("part"))
				panic(http.ErrAbortHandler)
			},
			callerRequest: plainRequest(http.MethodPost, "pay"), wantStatus: http.StatusBadGateway, wantRuns: 1,
		},
		"request times out after the timeout of the route": {
			backend: hang(), callerRequest: plainRequest(http.MethodPost, "pay"), wantStatus: http.StatusGatewayTimeout, wantRuns: 1,
		},
		"stream is forwarded": {
			backend: streamEvents(5, 0), callerRequest: streamRequest("chat"), wantStatus: http.StatusOK, wantBody: completeStream(5), wantRuns: 1,
		},
		"stream starts after the Last-Event-Id of the caller": {
			backend: streamEvents(5, 0), callerRequest: streamRequest("chat").with("Last-Event-Id", "3"), wantStatus: http.StatusOK,
			wantBody: "id: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n", wantRuns: 1,
		},
		"interrupted stream resumes at another server": {
			backend: firstThen(streamEvents(5, 2), streamEvents(5, 0)), callerRequest: streamRequest("chat"),
			wantStatus: http.StatusOK, wantBody: completeStream(5), wantRuns: 2,
		},
		"stream interrupted twice ends with an error": {
			backend: streamEvents(5, 2), callerRequest: streamRequest("chat"), wantStatus: http.StatusOK,
			wantBody: completeStream(2), wantCut: true, wantRuns: 2,
		},
		"interrupted non-resumable stream ends with an error": {
			backend: firstThen(streamEvents(5, 2), streamEvents(5, 0)), callerRequest: streamRequest("bill"),
			wantStatus: http.StatusOK, wantBody: completeStream(2), wantCut: true, wantRuns: 1,
		},
		"stalled stream resumes at another server": {
			backend: firstThen(func(_ *harness, _ int, writer http.ResponseWriter, request *http.Request) {
				seal(writer, request)
				writer.Header().Set("Content-Type", "text/event-stream")
				_, _ = writer.Write([]byte("id: 1\ndata: piece 1\n\n"))
				_ = http.NewResponseController(writer).Flush()
				<-request.Context().Done()
			}, streamEvents(5, 0)), callerRequest: streamRequest("chat"),
			wantStatus: http.StatusOK, wantBody: completeStream(5), wantRuns: 2,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := map[string]backend{"one": test.backend, "two": test.backend}
			withHarness(t, servers, servers, func(harness *harness) {
				got := harness.query(test.callerRequest)
				assert.Equal(t, got.status, test.wantStatus, got.body)
				if test.wantBody != "" {
					assert.Equal(t, got.body, test.wantBody)
				}
				assert.Equal(t, got.complete, !test.wantCut)
				assert.Equal(t, len(harness.requests()), test.wantRuns)
			})
		})
	}
}

// TestInvalidRequestsReachNoServer has requests that the gateway must refuse before any server receives them.
func TestInvalidRequestsReachNoServer(t *testing.T) {
	tests := map[string]struct {
		callerRequest callerRequest
		wantStatus    int
	}{
		"unknown path":                {callerRequest: plainRequest(http.MethodGet, "none"), wantStatus: http.StatusNotFound},
		"unknown host":                {callerRequest: plainRequest(http.MethodGet, "look").with("Host", "other.example"), wantStatus: http.StatusNotFound},
		"no API key":                  {callerRequest: plainRequest(http.MethodGet, "look").with("Authorization", ""), wantStatus: http.StatusUnauthorized},
		"unknown API key":             {callerRequest: plainRequest(http.MethodGet, "look").with("Authorization", "Bearer x"), wantStatus: http.StatusUnauthorized},
		"no request ID":               {callerRequest: plainRequest(http.MethodGet, "look").with("Request-Id", ""), wantStatus: http.StatusBadRequest},
		"deadline is not a number":    {callerRequest: plainRequest(http.MethodGet, "look").with("Deadline-Ms", "soon"), wantStatus: http.StatusBadRequest},
		"token counts are not a pair": {callerRequest: streamRequest("chat").with("Token-Counts", "12"), wantStatus: http.StatusBadRequest},
		"negative token count":        {callerRequest: streamRequest("chat").with("Token-Counts", "-1,3"), wantStatus: http.StatusBadRequest},
		"body exceeds the limit":      {callerRequest: callerRequest{method: http.MethodPost, path: "/pay/x", body: string(make([]byte, 65_537))}, wantStatus: http.StatusRequestEntityTooLarge},
		"header exceeds the limit":    {callerRequest: plainRequest(http.MethodGet, "look").with("X-Long", string(longHeaderValue())), wantStatus: http.StatusRequestHeaderFieldsTooLarge},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			servers := map[string]backend{"one": responses(http.StatusOK, "run")}
			withHarness(t, servers, servers, func(harness *harness) {
				assert.Equal(t, harness.query(test.callerRequest).status, test.wantStatus)
				assert.Equal(t, len(harness.requests()), 0)
			})
		})
	}
}

func longHeaderValue() []byte {
	long := make([]byte, 16_384)
	for i := range long {
		long[i] = 'x'
	}
	return long
}

// TestRequestSmuggling has request headers that HTTP implementations parse differently. Whatever the response, no server
// may receive more than the one request.
func TestRequestSmuggling(t *testing.T) {
	headers := "POST /pay/x HTTP/1.1\r\nHost: register.example\r\nRequest-Id: a\r\nAuthorization: Bearer " + testKey + "\r\n"
	smuggled := "GET /look/hidden HTTP/1.1\r\nHost: register.example\r\nRequest-Id: b\r\n\r\n"
	tests := map[string]string{
		"Content-Length and Transfer-Encoding": headers + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + smuggled,
		"two Content-Length headers":           headers + "Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcd" + smuggled,
		"Content-Length with a sign":           headers + "Content-Length: +4\r\n\r\nabcd",
		"hexadecimal prefix in chunk size":     headers + "Transfer-Encoding: chunked\r\n\r\n0x4\r\nabcd\r\n0\r\n\r\n",
		"space before a colon":                 headers + "Content-Length : 4\r\n\r\nabcd" + smuggled,
		"folded header line":                   headers + "X-A: b\r\n c: d\r\nContent-Length: 4\r\n\r\nabcd",
		"unknown Transfer-Encoding":            headers + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + smuggled,
		"absolute request target":              "GET http://register.example/look/x HTTP/1.1\r\nHost: register.example\r\nRequest-Id: a\r\n\r\n",
		"line break in the target":             "GET /look/x\nHost: y HTTP/1.1\r\nHost: register.example\r\n\r\n",
	}
	for name, message := range tests {
		t.Run(name, func(t *testing.T) {
			servers := map[string]backend{"one": responses(http.StatusOK, "run")}
			withHarness(t, servers, servers, func(harness *harness) {
				harness.sendRaw(message, time.Second)
				for _, request := range harness.requests() {
					assert.Equal(t, request.Target, "/pay/x")
					assert.Equal(t, request.Header.Get("Request-Id"), "a")
				}
			})
		})
	}
}

func TestServerReceivesRequestUnaltered(t *testing.T) {
	servers := map[string]backend{"one": streamEvents(1, 0)}
	withHarness(t, servers, nil, func(harness *harness) {
		got := harness.query(streamRequest("chat").with("X-Own", "kept").with("Tenant", "forged").
			with("Expect-Instance", "forged").with("Connection", "X-Hop").with("X-Hop", "dropped"))
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.header.Get("Response-Seal"), "seal-of-engines-one")
		request := harness.requests()[0]
		assert.Equal(t, request.Method, http.MethodPost)
		assert.Equal(t, request.Target, "/chat/x?a=%2F&b=1")
		assert.Equal(t, request.Body, "prompt")
		assert.Equal(t, request.Header.Get("Request-Id"), "request-1")
		assert.Equal(t, request.Header.Get("Token-Counts"), "4960,500")
		assert.Equal(t, request.Header.Get("Prefix-Hash"), "5c1e07a2:800")
		assert.Equal(t, request.Header.Get("X-Own"), "kept")
		assert.Equal(t, request.Header.Get("Expect-Instance"), "engines-one")
		assert.DeepEqual(t, request.Header.Values("Tenant"), []string{"register"})
		assert.Equal(t, request.Header.Get("Authorization"), "", "the API key must not be forwarded")
		assert.Equal(t, request.Header.Get("X-Hop"), "")
	})
}

func TestIdleConnectionIsClosedAfterConfiguredTime(t *testing.T) {
	servers := map[string]backend{"one": responses(http.StatusOK, "run")}
	withHarness(t, nil, servers, func(harness *harness) {
		harness.configure(2, func(configuration map[string]any) {
			configuration["limits"] = map[string]any{
				"max_header_bytes": 16_384, "max_body_bytes": 65_536, "idle_timeout_ms": 4000,
			}
		})
		time.Sleep(2 * time.Second)
		conn, err := harness.network.Dial(harness.t.Context(), vmAddress)
		assert.NilError(t, err)
		reader := bufio.NewReader(conn)
		query := func() error {
			_, err := io.WriteString(conn, "GET /open/x HTTP/1.1\r\nHost: register.example\r\nRequest-Id: a\r\n\r\n")
			if err != nil {
				return err
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, response.Body)
			return err
		}
		assert.NilError(t, query())
		time.Sleep(3 * time.Second)
		assert.NilError(t, query(), "the connection must stay open within the idle timeout")
		time.Sleep(5 * time.Second)
		assert.Assert(t, query() != nil, "the connection must be closed after the idle timeout")
	})
}

// TestRetriesStayWithinBudget has a service that always fails, and more requests than the retry budget allows to retry.
func TestRetriesStayWithinBudget(t *testing.T) {
	servers := map[string]backend{"one": responses(http.StatusInternalServerError, "no"), "two": responses(http.StatusInternalServerError, "no")}
	withHarness(t, nil, servers, func(harness *harness) {
		const requests = 400
		for range requests {
			harness.query(plainRequest(http.MethodGet, "look"))
			time.Sleep(5 * time.Millisecond)
		}
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).body, "no", "the failure of the server must be forwarded")
		retries := float64(len(harness.requests()) - requests - 1)
		assert.Assert(t, retries <= 0.2*requests+100, "%f retries", retries)
		assert.Assert(t, retries >= 0.1*requests, "%f retries", retries)
	})
}
