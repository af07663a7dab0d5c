package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBackoffThroughTunnelReachesBothVMs guards against a VM that goes on sending requests to a server which has asked it for
// backoff, since the request that was refused belonged to another VM and only led through this one.
func TestBackoffThroughTunnelReachesBothVMs(t *testing.T) {
	withFleet(t, 2, 1, func(fleet *fleet) {
		through, plain := fleet.vms[1], fleet.servers[1]
		plain.script = refuseWithRetryAfter()
		fleet.vms[0].network.begin(cutRefuses, serverPrefix)
		request := plainRequest(http.MethodGet, "look")
		request.vm = fleet.vms[0].address()
		got := fleet.query(request.with(headerVM, request.vm))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		assert.Equal(t, len(fleet.arrivalsFrom(fleet.vms[0], plain)), 1)
		time.Sleep(10 * time.Millisecond)
		request.vm = through.address()
		for range 5 {
			got := fleet.query(request.with(headerVM, request.vm))
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, len(fleet.arrivalsFrom(through, plain)), 0)
	})
}
