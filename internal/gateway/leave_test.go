package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestRequestsOfCallersThatLeft has callers that leave while their request waits
// for a place, waits for its first event, or has not come whole. Half a second later
// no server works on any of them, and none gets one.
func TestRequestsOfCallersThatLeft(t *testing.T) {
	// Beyond the memory of the one engine, so that it waits.
	tooLong := stream("chat").with("Token-Counts", "300000,500")
	unread := plain(http.MethodPost, "pay").with("Content-Length", "10")
	for name, test := range map[string]struct {
		caller caller
		// reaches says whether the request gets to a server before its caller leaves.
		reaches bool
	}{
		"waits for a place":           {caller: tooLong},
		"waits for its first event":   {caller: stream("chat"), reaches: true},
		"waits for a plain answer":    {caller: plain(http.MethodGet, "look"), reaches: true},
		"its body has not come whole": {caller: unread},
	} {
		t.Run(name, func(t *testing.T) {
			left := make(chan time.Time, 10)
			works := func(_ *world, _ int, _ http.ResponseWriter, request *http.Request) {
				<-request.Context().Done()
				left <- time.Now()
			}
			inWorld(t, map[string]backend{"one": works}, map[string]backend{"one": works}, func(world *world) {
				test.caller.give = 300 * time.Millisecond
				world.ask(test.caller)
				gone := time.Now()
				reached := len(world.requests())
				assert.Equal(t, reached > 0, test.reaches)
				time.Sleep(12 * time.Second)
				assert.Equal(t, len(world.requests()), reached, "nothing reaches a server later")
				if test.reaches {
					assert.Assert(t, (<-left).Sub(gone) < 500*time.Millisecond)
				}
			})
		})
	}
}

// TestVMThatIsReadyTakesConnections: whenever a VM says that it is ready, a new
// connection to it gets an answer, also right after its start and while the store is
// away.
func TestVMThatIsReadyTakesConnections(t *testing.T) {
	servers := map[string]backend{"one": answers(http.StatusOK, "run")}
	inWorld(t, nil, servers, func(world *world) {
		world.finish()
		go world.start()
		checked := 0
		for i := range 200 {
			time.Sleep(5 * time.Millisecond)
			if i == 100 {
				world.store.SetFault(metastoreSilent)
			}
			if !world.ready() {
				continue
			}
			checked++
			assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusOK)
		}
		assert.Assert(t, checked > 100)
	})
}

func TestCallerThatLeavesFreesTheServer(t *testing.T) {
	left := make(chan time.Time, 1)
	servers := map[string]backend{"one": func(_ *world, _ int, _ http.ResponseWriter, request *http.Request) {
		<-request.Context().Done()
		left <- time.Now()
	}}
	inWorld(t, servers, nil, func(world *world) {
		caller := stream("chat")
		caller.give = 300 * time.Millisecond
		started := time.Now()
		world.ask(caller)
		assert.Assert(t, (<-left).Sub(started) < 800*time.Millisecond)
	})
}
