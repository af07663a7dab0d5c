package gateway_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRevokedKeyIsRefused(t *testing.T) {
	servers := map[string]backend{"one": answers(http.StatusOK, "run")}
	withoutKey := func(configuration map[string]any) {
		configuration["tenants"] = []any{map[string]any{"name": "register", "api_keys": []string{"another"}}}
	}
	tests := map[string]struct {
		before func(world *world)
		// wantKeyed and wantOpen are the statuses with and without a key.
		wantKeyed int
		wantOpen  int
		wantReady bool
	}{
		"soon after its removal": {
			before: func(world *world) {
				world.configure(2, withoutKey)
				time.Sleep(time.Second)
			},
			wantKeyed: http.StatusUnauthorized, wantOpen: http.StatusOK, wantReady: true,
		},
		"when the store is away for long": {
			before: func(world *world) {
				world.store.SetFault(metastoreSilent)
				time.Sleep(5 * time.Second)
			},
			wantKeyed: http.StatusServiceUnavailable, wantOpen: http.StatusOK, wantReady: false,
		},
		"not when the store is away for a moment": {
			before: func(world *world) {
				world.store.SetFault(metastoreSilent)
				time.Sleep(1500 * time.Millisecond)
			},
			wantKeyed: http.StatusOK, wantOpen: http.StatusOK, wantReady: true,
		},
		"not when the store is back": {
			before: func(world *world) {
				world.store.SetFault(metastoreBusy)
				time.Sleep(8 * time.Second)
				world.store.SetFault("")
				time.Sleep(time.Second)
			},
			wantKeyed: http.StatusOK, wantOpen: http.StatusOK, wantReady: true,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			inWorld(t, nil, servers, func(world *world) {
				test.before(world)
				assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, test.wantKeyed)
				assert.Equal(t, world.ask(plain(http.MethodGet, "open").with("Authorization", "")).status, test.wantOpen)
				assert.Equal(t, world.ready(), test.wantReady)
			})
		})
	}
}

func TestConfigurationNeverGoesBack(t *testing.T) {
	servers := map[string]backend{"one": answers(http.StatusOK, "run")}
	inWorld(t, nil, servers, func(world *world) {
		world.configure(5, func(configuration map[string]any) {
			routes, _ := configuration["routes"].([]any)
			configuration["routes"] = routes[:2]
		})
		time.Sleep(time.Second)
		world.configure(3, nil)
		time.Sleep(time.Second)
		assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusNotFound)
		world.store.Trim("keyed.op")
		world.configure(7, nil)
		time.Sleep(3 * time.Second)
		assert.Equal(t, world.ask(plain(http.MethodGet, "look")).status, http.StatusOK, "history was forgotten")
	})
}

func TestVMWithoutConfigurationPromisesNotRun(t *testing.T) {
	inWorld(t, nil, map[string]backend{"one": answers(http.StatusOK, "run")}, func(world *world) {
		world.finish()
		world.store.SetFault(metastoreSilent)
		world.start()
		assert.Assert(t, !world.ready())
		got := world.ask(plain(http.MethodGet, "look"))
		assert.Equal(t, got.status, http.StatusServiceUnavailable)
		// The store is away for seconds: a caller that returns sooner has its last try
		// refused too.
		seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 2 && seconds <= 3.2, "%v s", seconds)
	})
}

// TestRequestsWaitForTheFirstConfiguration has requests right after the start of the
// process, when the store takes a moment: they were told to return after two seconds.
func TestRequestsWaitForTheFirstConfiguration(t *testing.T) {
	for name, test := range map[string]struct {
		back time.Duration
		want int
	}{
		"it comes in a moment": {back: 150 * time.Millisecond, want: http.StatusOK},
		"it does not come":     {back: time.Minute, want: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			inWorld(t, nil, map[string]backend{"one": answers(http.StatusOK, "run")}, func(world *world) {
				world.finish()
				world.store.SetFault(metastoreBusy)
				world.start()
				timer := time.AfterFunc(test.back, func() { world.store.SetFault("") })
				defer timer.Stop()
				got := world.ask(plain(http.MethodGet, "look"))
				assert.Equal(t, got.status, test.want)
				assert.Assert(t, got.took <= 310*time.Millisecond, "%s", got.took)
				again := world.ask(plain(http.MethodGet, "look"))
				assert.Equal(t, again.status, test.want)
				assert.Assert(t, again.took <= 10*time.Millisecond, "who comes later does not wait: %s", again.took)
			})
		})
	}
}

func TestLeavingServerGetsNothingNew(t *testing.T) {
	servers := map[string]backend{"one": answers(http.StatusOK, "one"), "two": answers(http.StatusOK, "two")}
	inWorld(t, nil, servers, func(world *world) {
		world.list("plain-one", "plain", "10.0.2.1:80", "draining")
		time.Sleep(1500 * time.Millisecond)
		world.store.SetFault(metastoreSilent)
		for range 10 {
			assert.Equal(t, world.ask(plain(http.MethodGet, "open")).body, "two")
		}
	})
}
