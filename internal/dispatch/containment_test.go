package dispatch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/dispatch"
	"github.com/mastwinch/mastwinch/internal/fairshare"
	"github.com/mastwinch/mastwinch/internal/fingerprint"
	"github.com/mastwinch/mastwinch/internal/placement"
)

// containing returns a request with contained fingerprints.
func containing(id uint64, now time.Time, contained ...fingerprint.Fingerprint) *dispatch.Request {
	request := newRequest(id, 1000, now.Add(time.Second), false)
	request.Contained = contained
	return request
}

// TestOneRequestWithASuspectIsInFlight replays a burst of prompts under which servers may crash, beside other
// prompts, on free servers. It guards against servers that are all lost at once, and against holding back
// prompts without the suspect, or any once it is cleared.
func TestOneRequestWithASuspectIsInFlight(t *testing.T) {
	now := time.Unix(1000, 0)
	servers := &stub{servers: []placement.Server{{ID: "a", Slots: 100}}, inPrefill: make(map[dispatch.Key]bool)}
	queue := dispatch.New(slotPolicy{}, fairshare.DefaultSettings())
	offer := func(request *dispatch.Request) bool {
		_, placed := queue.Offer(request, servers, now)
		servers.inPrefill[request.Key] = placed
		return placed
	}
	assert.Assert(t, offer(containing(1, now, 7)))
	assert.Assert(t, offer(containing(2, now)), "without a suspect")
	assert.Assert(t, offer(containing(3, now, 8)), "with another suspect")
	assert.Assert(t, !offer(containing(4, now, 7)))
	assert.Assert(t, !offer(containing(5, now, 8, 7)))
	assert.Equal(t, len(dispatchAll(t, queue, servers, now)), 0)

	servers.inPrefill[dispatch.Key{VM: "vm", ID: 1}] = false
	assert.DeepEqual(t, ids(dispatchAll(t, queue, servers, now)), []uint64{4})
	servers.inPrefill[dispatch.Key{VM: "vm", ID: 4}] = true
	assert.Equal(t, len(dispatchAll(t, queue, servers, now)), 0, "the next one is in flight")

	queue.Find(dispatch.Key{VM: "vm", ID: 5}).Contained = nil
	assert.DeepEqual(t, ids(dispatchAll(t, queue, servers, now)), []uint64{5})
}
