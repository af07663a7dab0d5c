package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestUnknownKeyIsRefusedOnOpenRoutesToo guards against a request with an unknown or revoked key being run without an organisation on a
// route that needs no key.
func TestUnknownKeyIsRefusedOnOpenRoutesToo(t *testing.T) {
	withHarness(t, nil, map[string]backend{"one": responses(http.StatusOK, "run")}, func(harness *harness) {
		for key, want := range map[string]int{"": http.StatusOK, "Bearer " + testKey: http.StatusOK, "Bearer unknown": http.StatusUnauthorized} {
			got := harness.query(plainRequest(http.MethodGet, "open").with("Authorization", key))
			assert.Check(t, got.status == want, "key %q: %d", key, got.status)
		}
		organisations := make([]string, 0, 2)
		for _, request := range harness.requests() {
			organisations = append(organisations, request.Header.Get("Tenant"))
		}
		slices.Sort(organisations)
		assert.Equal(t, fmt.Sprint(organisations), "[ register]")
	})
}
