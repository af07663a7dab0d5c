package gateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestPlannedStop(t *testing.T) {
	servers := map[string]backend{"one": streams(60, 0), "two": streams(60, 0)}
	inWorld(t, servers, servers, func(world *world) {
		answered := make(chan answer, 1)
		go func() { answered <- world.ask(stream("chat")) }()
		time.Sleep(500 * time.Millisecond)
		world.askStop()
		time.Sleep(100 * time.Millisecond)
		assert.Assert(t, !world.ready())
		during := world.ask(stream("chat").with("Last-Event-Id", "55"))
		assert.Equal(t, during.status, http.StatusOK, "a request that comes before the balancer knows is served")
		assert.Assert(t, during.last)
		got := <-answered
		assert.Assert(t, got.whole)
		assert.Equal(t, got.body, wholeStream(60))
	})
}

// A VM whose data centre has no other one gets new connections all the while
// it stops. It took them, and had to cut them at the end.
func TestStoppingVMRefusesWhatComesLate(t *testing.T) {
	servers := map[string]backend{"one": streams(60, 0)}
	inWorld(t, servers, servers, func(world *world) {
		held := make(chan answer, 1)
		time.Sleep(time.Second)
		world.askStop()
		time.Sleep(2500 * time.Millisecond)
		go func() { held <- world.ask(stream("chat")) }()
		time.Sleep(time.Second)
		late := world.ask(stream("chat"))
		assert.Equal(t, late.status, http.StatusServiceUnavailable)
		assert.Assert(t, late.header.Get("Retry-After") != "")
		assert.Assert(t, (<-held).whole)
		assert.NilError(t, <-world.stopped)
		assert.Assert(t, time.Since(world.stopAt) < 8*time.Second)
		world.stopped <- nil
	})
}

func TestVMThatStartsAgainServesSoon(t *testing.T) {
	servers := map[string]backend{"one": answers(http.StatusOK, "run")}
	inWorld(t, nil, servers, func(world *world) {
		world.finish()
		started := time.Now()
		world.start() // which waits 0.1 s
		assert.Assert(t, world.ready())
		assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusOK)
		assert.Assert(t, time.Since(started) < 200*time.Millisecond)
	})
}

func TestReloadTakesBoundsOver(t *testing.T) {
	servers := map[string]backend{"one": answers(http.StatusOK, "run")}
	inWorld(t, nil, servers, func(world *world) {
		world.store.SetFault(metastoreSilent)
		time.Sleep(6 * time.Second)
		assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusServiceUnavailable)
		site := newSite()
		site.Bounds.Revoke = time.Minute
		world.served.Reload(site)
		assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusOK)
	})
}
