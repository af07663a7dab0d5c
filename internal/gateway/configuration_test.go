package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRevokedKeyIsRefused(t *testing.T) {
	servers := map[string]backend{"one": responses(http.StatusOK, "run")}
	withoutKey := func(configuration map[string]any) {
		configuration["tenants"] = []any{map[string]any{"name": "register", "api_keys": []string{"another"}}}
	}
	tests := map[string]struct {
		before func(harness *harness)
		// wantKeyed is the status of a request with the key, wantOpen that of one without a key on the open route.
		wantKeyed int
		wantOpen  int
		wantReady bool
	}{
		"one second after its removal": {
			before: func(harness *harness) {
				harness.configure(2, withoutKey)
				time.Sleep(time.Second)
			},
			wantKeyed: http.StatusUnauthorized, wantOpen: http.StatusOK, wantReady: true,
		},
		"store unreachable for longer than the revocation bound": {
			before: func(harness *harness) {
				harness.store.SetFault(metastoreSilent)
				time.Sleep(5 * time.Second)
			},
			wantKeyed: http.StatusServiceUnavailable, wantOpen: http.StatusOK, wantReady: false,
		},
		"accepted while the store is unreachable for 1.5 s": {
			before: func(harness *harness) {
				harness.store.SetFault(metastoreSilent)
				time.Sleep(1500 * time.Millisecond)
			},
			wantKeyed: http.StatusOK, wantOpen: http.StatusOK, wantReady: true,
		},
		"accepted after the store has recovered": {
			before: func(harness *harness) {
				harness.store.SetFault(metastoreBusy)
				time.Sleep(8 * time.Second)
				harness.store.SetFault("")
				time.Sleep(time.Second)
			},
			wantKeyed: http.StatusOK, wantOpen: http.StatusOK, wantReady: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			withHarness(t, nil, servers, func(harness *harness) {
				test.before(harness)
				assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, test.wantKeyed)
				assert.Equal(t, harness.query(plainRequest(http.MethodGet, "open").with("Authorization", "")).status, test.wantOpen)
				assert.Equal(t, harness.ready(), test.wantReady)
			})
		})
	}
}

func TestOlderConfigurationIsIgnored(t *testing.T) {
	servers := map[string]backend{"one": responses(http.StatusOK, "run")}
	withHarness(t, nil, servers, func(harness *harness) {
		harness.configure(5, func(configuration map[string]any) {
			routes, _ := configuration["routes"].([]any)
			configuration["routes"] = routes[:2]
		})
		time.Sleep(time.Second)
		harness.configure(3, nil)
		time.Sleep(time.Second)
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusNotFound)
		harness.store.Trim("keyed.op")
		harness.configure(7, nil)
		time.Sleep(3 * time.Second)
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusOK, "the store has trimmed its history")
	})
}

func TestVMWithoutConfigurationRefusesRequests(t *testing.T) {
	withHarness(t, nil, map[string]backend{"one": responses(http.StatusOK, "run")}, func(harness *harness) {
		harness.finish()
		harness.store.SetFault(metastoreSilent)
		harness.start()
		assert.Assert(t, !harness.ready())
		got := harness.query(plainRequest(http.MethodGet, "look"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		// An outage of the store lasts for seconds, and a caller that retries sooner has its last
		// attempt refused too.
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 2 && seconds <= 3.2, "%v s", seconds)
	})
}

// TestRequestsWaitForFirstConfiguration guards against refusing requests right after the start of the process. When the
// store takes a moment to reply, they were refused with a Retry-After of two seconds.
func TestRequestsWaitForFirstConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		configurationAfter time.Duration
		wantStatus         int
	}{
		"configuration arrives after 150 ms": {configurationAfter: 150 * time.Millisecond, wantStatus: http.StatusOK},
		"no configuration arrives":           {configurationAfter: time.Minute, wantStatus: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, nil, map[string]backend{"one": responses(http.StatusOK, "run")}, func(harness *harness) {
				harness.finish()
				harness.store.SetFault(metastoreBusy)
				harness.start()
				timer := time.AfterFunc(test.configurationAfter, func() { harness.store.SetFault("") })
				defer timer.Stop()
				got := harness.query(plainRequest(http.MethodGet, "look"))
				assert.Equal(t, got.status, test.wantStatus)
				assert.Assert(t, got.duration <= 310*time.Millisecond, "%s", got.duration)
				again := harness.query(plainRequest(http.MethodGet, "look"))
				assert.Equal(t, again.status, test.wantStatus)
				assert.Assert(t, again.duration <= 10*time.Millisecond, "a later request must not wait: %s", again.duration)
			})
		})
	}
}

func TestDrainingServerReceivesNoNewRequests(t *testing.T) {
	servers := map[string]backend{"one": responses(http.StatusOK, "one"), "two": responses(http.StatusOK, "two")}
	withHarness(t, nil, servers, func(harness *harness) {
		harness.putServer("plain-one", "plain", "10.0.2.1:80", "draining")
		time.Sleep(1500 * time.Millisecond)
		harness.store.SetFault(metastoreSilent)
		for range 10 {
			assert.Equal(t, harness.query(plainRequest(http.MethodGet, "open")).body, "two")
		}
	})
}
