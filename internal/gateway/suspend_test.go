package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/gateway"
)

// TestResumedVMRefusesStaleKeys guards against accepting keys after a suspension of the VM. A key may have been revoked
// meanwhile, and the store is unreachable, so the keys can't be confirmed. The VM used the last confirmation, whose age did
// not include the suspension.
func TestResumedVMRefusesStaleKeys(t *testing.T) {
	for name, test := range map[string]struct {
		suspendedFor time.Duration
		want         int
	}{
		"1 s":   {suspendedFor: time.Second, want: http.StatusOK},
		"5 s":   {suspendedFor: 5 * time.Second, want: http.StatusServiceUnavailable},
		"1 min": {suspendedFor: time.Minute, want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, nil, map[string]backend{"one": responses(http.StatusOK, "run")}, func(harness *harness) {
				time.Sleep(time.Second)
				harness.store.SetFault(metastoreSilent)
				harness.suspend(test.suspendedFor)
				got := harness.query(plainRequest(http.MethodGet, "look"))
				assert.Equal(t, got.status, test.want, got.body)
				assert.Equal(t, harness.ready(), test.want == http.StatusOK)
			})
		})
	}
}

// TestSuspensionCountsTowardsTimeout has a request in flight whose server sends nothing. The time of a suspension of the VM
// must count towards the timeout of the request; it timed out as late after the suspension as if there had been none.
func TestSuspensionCountsTowardsTimeout(t *testing.T) {
	for name, test := range map[string]struct {
		suspendedFor, want time.Duration
	}{
		"no suspension": {want: 1980 * time.Millisecond},
		"1 s":           {suspendedFor: time.Second, want: 980 * time.Millisecond},
		"5 s":           {suspendedFor: 5 * time.Second, want: 500 * time.Millisecond},
		"1 min":         {suspendedFor: time.Minute, want: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			withHarness(t, nil, map[string]backend{"one": hang()}, func(harness *harness) {
				timer := time.AfterFunc(450*time.Millisecond, func() { harness.suspend(test.suspendedFor) })
				defer timer.Stop()
				got := harness.query(plainRequest(http.MethodPost, "pay"))
				assert.Equal(t, got.status, http.StatusGatewayTimeout)
				assert.Assert(t, (got.duration-test.want).Abs() <= 60*time.Millisecond, "%s", got.duration)
			})
		})
	}
}

// TestKeysAreConfirmedAfterSuspension has a store that is reachable: requests soon after a suspension must be served.
func TestKeysAreConfirmedAfterSuspension(t *testing.T) {
	withHarness(t, nil, map[string]backend{"one": responses(http.StatusOK, "run")}, func(harness *harness) {
		time.Sleep(time.Second)
		harness.suspend(time.Minute)
		time.Sleep(gateway.DefaultSettings().Configuration.ResponseTimeout)
		assert.Equal(t, harness.query(plainRequest(http.MethodGet, "look")).status, http.StatusOK)
	})
}
