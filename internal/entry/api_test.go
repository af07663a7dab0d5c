package entry

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/request"
)

// newTestEntry returns an entry that has one organisation and no engines.
func newTestEntry(t *testing.T, changeSettings func(settings *Settings)) *Entry {
	t.Helper()
	cluster := newCluster(noMutant{})
	tested := cluster.nodes[0].entry
	changeSettings(&tested.settings)
	t.Cleanup(cluster.stopAll)
	return tested
}

func TestInvalidSubmissionReportsFields(t *testing.T) {
	cases := map[string]struct {
		body   string
		code   int
		fields []string
	}{
		"all fields missing": {
			body: `{}`, code: http.StatusBadRequest,
			fields: []string{"model", "prompt", "max_tokens", "time_ms", "repeatable"},
		},
		"field of the wrong type": {
			body: `{"max_tokens": "many"}`, code: http.StatusBadRequest, fields: []string{"max_tokens"},
		},
		"malformed JSON": {
			body: `{`, code: http.StatusBadRequest, fields: []string{"(body)"},
		},
		"body too large": {
			body: strings.Repeat("x", 5000), code: http.StatusRequestEntityTooLarge, fields: []string{"(body)"},
		},
		"key of a repeatable request": {
			body:   `{"model":"m","prompt":"p","max_tokens":1,"time_ms":1000,"repeatable":true,"key":"k"}`,
			code:   http.StatusBadRequest,
			fields: []string{"key"},
		},
		"key without a timestamp": {
			body:   `{"model":"m","prompt":"p","max_tokens":1,"time_ms":1000,"repeatable":false,"key":"k"}`,
			code:   http.StatusBadRequest,
			fields: []string{"key"},
		},
		"unknown session": {
			body:   `{"model":"m","prompt":"p","max_tokens":1,"time_ms":1000,"repeatable":true,"session":"s"}`,
			code:   http.StatusBadRequest,
			fields: []string{"session"},
		},
		"unknown mode and control characters": {
			body:   `{"model":"m\n","prompt":"p","max_tokens":1,"time_ms":1000,"repeatable":true,"mode":"later"}`,
			code:   http.StatusBadRequest,
			fields: []string{"model", "mode"},
		},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			tested := newTestEntry(t, func(settings *Settings) { settings.Limits.MaxBodyBytes = 4096 })
			httpRequest := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(test.body))
			httpRequest.Header.Set(HeaderOrganisation, testOrganisation)
			recorder := httptest.NewRecorder()
			tested.Handler().ServeHTTP(recorder, httpRequest)
			assert.Equal(t, recorder.Code, test.code)
			var problem Problem
			assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &problem))
			var fields []string
			for _, field := range problem.Fields {
				fields = append(fields, field.Field)
			}
			assert.DeepEqual(t, fields, test.fields)
			assert.Equal(t, tested.registry.runningCount(), 0)
		})
	}
}

func TestRefusalsHaveRetryAfter(t *testing.T) {
	cases := map[string]struct {
		change func(tested *Entry)
		code   int
		reason request.Reason
	}{
		"no engine":    {change: func(*Entry) {}, code: http.StatusServiceUnavailable, reason: request.ReasonNoServer},
		"stopping":     {change: func(tested *Entry) { tested.refusing.Store(true) }, code: http.StatusServiceUnavailable, reason: request.ReasonStopping},
		"overload":     {change: func(tested *Entry) { tested.admission.settings.MaxConcurrent = 0 }, code: http.StatusServiceUnavailable, reason: request.ReasonOverload},
		"organisation": {change: func(tested *Entry) { tested.admission.byOrganisation[testOrganisation] = 100 }, code: http.StatusTooManyRequests, reason: request.ReasonOrganisationLimit},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			tested := newTestEntry(t, func(*Settings) {})
			test.change(tested)
			body := `{"model":"m","prompt":"p","max_tokens":1,"time_ms":1000,"repeatable":true}`
			httpRequest := httptest.NewRequest(http.MethodPost, "/v1/requests", strings.NewReader(body))
			httpRequest.Header.Set(HeaderOrganisation, testOrganisation)
			recorder := httptest.NewRecorder()
			tested.Handler().ServeHTTP(recorder, httpRequest)
			var status Status
			assert.NilError(t, json.Unmarshal(recorder.Body.Bytes(), &status))
			assert.Equal(t, recorder.Code, test.code)
			assert.Equal(t, status.Outcome, request.KindFailedNotRun)
			assert.Equal(t, status.Reason, test.reason)
			assert.Equal(t, recorder.Header().Get("Retry-After"), "1")
			assert.Equal(t, status.RetryAfterMS, int64(1000))
		})
	}
}

// TestStalledBodyTimesOut guards against a connection that stays open for ever
// because the caller never sends the rest of its body.
func TestStalledBodyTimesOut(t *testing.T) {
	tested := newTestEntry(t, func(settings *Settings) { settings.Admission.TransferTimeout = 20 * time.Millisecond })
	server := httptest.NewServer(tested.Handler())
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	assert.NilError(t, err)
	defer func() { assert.NilError(t, conn.Close()) }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(10*time.Second)))
	_, err = io.WriteString(conn, "POST /v1/requests HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n"+
		HeaderOrganisation+": "+testOrganisation+"\r\n\r\n{")
	assert.NilError(t, err)
	response := make([]byte, 64)
	n, err := conn.Read(response)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(response[:n]), "HTTP/1.1 400"), "%s", response[:n])
}
