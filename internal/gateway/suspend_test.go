package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/gateway"
)

// TestVMThatWakesUpKnowsThatItsKeysAreOld has a VM suspended while the store is away, so that no proof comes after:
// a key may have been taken away meanwhile. It went on to serve with a proof that looked young.
func TestVMThatWakesUpKnowsThatItsKeysAreOld(t *testing.T) {
	for name, test := range map[string]struct {
		asleep time.Duration
		want   int
	}{
		"a second":      {asleep: time.Second, want: http.StatusOK},
		"five seconds":  {asleep: 5 * time.Second, want: http.StatusServiceUnavailable},
		"a long minute": {asleep: time.Minute, want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, nil, map[string]backend{"one": answers(http.StatusOK, "run")}, func(world *world) {
				time.Sleep(time.Second)
				world.store.SetFault(metastoreSilent)
				world.suspend(test.asleep)
				got := world.ask(plain(http.MethodGet, "look"))
				assert.Equal(t, got.status, test.want, got.body)
				assert.Equal(t, world.ready(), test.want == http.StatusOK)
			})
		})
	}
}

// TestCallersOfAVMThatWakesUp has a request under way whose server says nothing. Its caller has ten seconds, of
// which those asleep count: it got its answer as long after the wake-up as if there had been no sleep.
func TestCallersOfAVMThatWakesUp(t *testing.T) {
	for name, test := range map[string]struct {
		asleep, want time.Duration
	}{
		"not at all":    {want: 1980 * time.Millisecond},
		"a second":      {asleep: time.Second, want: 980 * time.Millisecond},
		"five seconds":  {asleep: 5 * time.Second, want: 500 * time.Millisecond},
		"a long minute": {asleep: time.Minute, want: 500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, nil, map[string]backend{"one": hangs()}, func(world *world) {
				timer := time.AfterFunc(450*time.Millisecond, func() { world.suspend(test.asleep) })
				defer timer.Stop()
				got := world.ask(plain(http.MethodPost, "pay"))
				assert.Equal(t, got.status, http.StatusGatewayTimeout)
				assert.Assert(t, (got.took-test.want).Abs() <= 60*time.Millisecond, "%s", got.took)
			})
		})
	}
}

// TestProofIsRenewedAfterAWakeUp has the store there: who asks soon after the wake-up is served.
func TestProofIsRenewedAfterAWakeUp(t *testing.T) {
	inWorld(t, nil, map[string]backend{"one": answers(http.StatusOK, "run")}, func(world *world) {
		time.Sleep(time.Second)
		world.suspend(time.Minute)
		time.Sleep(gateway.DefaultSettings().Configuration.Patience)
		assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusOK)
	})
}
