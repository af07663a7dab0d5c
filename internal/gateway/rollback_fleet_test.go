package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// rollBackRevocation revokes the API key of the callers, stops the store, and starts it again 0.3 s later from a copy without
// the revocation. That is written again 1.8 s after the stop. It returns a given time after the stop.
func (fleet *fleet) rollBackRevocation(delay time.Duration) {
	snapshot := fleet.store.Snapshot()
	fleet.configure(2, revokeKey)
	time.Sleep(6 * time.Second)
	fleet.store.SetFault(metastore.FaultBusy)
	time.AfterFunc(300*time.Millisecond, func() {
		fleet.store.Restore(snapshot)
		fleet.store.SetFault(metastore.FaultNone)
	})
	time.AfterFunc(1800*time.Millisecond, func() { fleet.configure(2, revokeKey) })
	time.Sleep(delay)
}

// TestRevocationHoldsOnVMStartedDuringRollback guards against a VM that starts around a rollback of the store and accepts a
// revoked key. It must obtain the configuration that the store has lost from the other VMs.
func TestRevocationHoldsOnVMStartedDuringRollback(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"not restarted":                                0,
		"starts while the store is down":               200 * time.Millisecond,
		"starts right after the rollback":              350 * time.Millisecond,
		"starts 1 s after the rollback":                1300 * time.Millisecond,
		"starts after the revocation is written again": 2500 * time.Millisecond,
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 3, 3, func(fleet *fleet) {
				vm := fleet.vms[0]
				if delay == 0 {
					fleet.rollBackRevocation(0)
				} else {
					fleet.stop(vm)
					fleet.rollBackRevocation(delay)
					fleet.start(vm)
				}
				callerRequest := plainRequest(http.MethodGet, "look")
				callerRequest.vm = vm.address()
				for _, got := range fleet.queryEvery(callerRequest, 20*time.Millisecond, 4*time.Second) {
					assert.Assert(fleet.t, got.status != http.StatusOK, "%s", got.headersAt)
				}
			})
		})
	}
}

// TestAllVMsStartAfterRollback restarts all VMs around a rollback of the store, so that no VM has the lost revocation. The key
// must not be accepted before the operator has had time to write the revocation again.
func TestAllVMsStartAfterRollback(t *testing.T) {
	withFleet(t, 3, 3, func(fleet *fleet) {
		snapshot := fleet.store.Snapshot()
		fleet.configure(2, revokeKey)
		time.Sleep(6 * time.Second)
		fleet.stopAll()
		fleet.store.Restore(snapshot)
		time.AfterFunc(1500*time.Millisecond, func() { fleet.configure(2, revokeKey) })
		for _, vm := range fleet.vms {
			fleet.start(vm)
		}
		for _, got := range fleet.queryEvery(plainRequest(http.MethodGet, "look"), 20*time.Millisecond, 3*time.Second) {
			assert.Assert(fleet.t, got.status != http.StatusOK, "%s", got.headersAt)
		}
		open := plainRequest(http.MethodGet, "open").with("Authorization", "")
		assert.Equal(fleet.t, fleet.query(open).status, http.StatusOK)
	})
}

// TestAllVMsRestart guards against a delay at a restart of all VMs when the store was not rolled back.
func TestAllVMsRestart(t *testing.T) {
	withFleet(t, 3, 3, func(fleet *fleet) {
		fleet.stopAll()
		for _, vm := range fleet.vms {
			fleet.start(vm)
		}
		time.Sleep(10 * time.Millisecond) // until they listen
		got := fleet.query(plainRequest(http.MethodGet, "look"))
		assert.Equal(fleet.t, got.status, http.StatusOK)
		assert.Assert(fleet.t, got.duration < 400*time.Millisecond, "%s", got.duration)
	})
}

// TestLargeFleetDuringRollbacks has VMs that, in large fleets, read the store through each other. The store is rolled back
// twice and loses the revocation of a key, the drain of a server and the start of another one each time. No VM may accept the
// key, no request to the open route may be refused, the draining server may receive nothing, the new one must serve when it
// is the last, and 300 VMs at this rate must stay within the calls that the store accepts.
func TestLargeFleetDuringRollbacks(t *testing.T) {
	// storeReads is the number of calls to the store that 300 VMs may make per second.
	const storeReads = 2000
	for _, vms := range []int{6, 18, 76} {
		t.Run(fmt.Sprint(vms, " VMs"), func(t *testing.T) {
			withFleetApplyBound(t, vms, 3, 4*time.Second, func(fleet *fleet) {
				const newID, newAddress = "plain-new", "10.0.3.1:80"
				running := fleet.listen(newAddress, fleet.scripted(newID, responses(http.StatusOK, "new")))
				defer func() { _ = running.Close() }()
				drainingServer := fleet.servers[1]
				snapshot := fleet.store.Snapshot()
				writeEntries := func() {
					fleet.configure(2, revokeKey)
					fleet.putServer(drainingServer.id(), drainingServer.service, drainingServer.address, "draining")
					fleet.putServer(newID, drainingServer.service, newAddress, "ready")
				}
				writeEntries()
				time.Sleep(6 * time.Second)
				before := len(fleet.arrivals(drainingServer.id()))
				maxCalls := fleet.watchStoreCalls()
				for _, after := range []time.Duration{time.Second, 1500 * time.Millisecond} {
					fleet.store.Restore(snapshot)
					time.AfterFunc(after, writeEntries)
					fleet.assertOnlyOpenServed(4 * time.Second)
				}
				fleet.assertOnlyOpenServed(4 * time.Second)
				assert.Equal(t, len(fleet.arrivals(drainingServer.id())), before)
				assert.Assert(t, maxCalls() <= storeReads*vms/300, "%d calls in a second", maxCalls())
				for _, server := range fleet.servers {
					fleet.store.Put("keyed.servers", server.id(), nil)
				}
				time.Sleep(4 * time.Second)
				fleet.assertOnlyOpenServed(2 * time.Second) // by the new server alone
				assert.Assert(t, len(fleet.arrivals(newID)) > 0)
			})
		})
	}
}

// watchStoreCalls counts the calls to the store in each second from now on. The returned function stops the count and returns
// the maximum.
func (fleet *fleet) watchStoreCalls() func() int {
	var maxCalls atomic.Int64
	ctx, stop := context.WithCancel(fleet.t.Context())
	go func() {
		before := fleet.store.Calls()
		for wait.For(ctx, time.Second) {
			calls := fleet.store.Calls()
			maxCalls.Store(max(maxCalls.Load(), int64(calls-before)))
			before = calls
		}
	}()
	return func() int {
		stop()
		return int(maxCalls.Load())
	}
}

// assertOnlyOpenServed sends requests to the open route and requests with the revoked key to the VMs in turn for a duration.
// The former must be served and the latter refused.
func (fleet *fleet) assertOnlyOpenServed(duration time.Duration) {
	fleet.t.Helper()
	open := plainRequest(http.MethodGet, "open").with("Authorization", "")
	const interval = 20 * time.Millisecond
	for index := range int(duration / interval) {
		vm := fleet.vms[index%len(fleet.vms)]
		open.vm = vm.address()
		revoked := plainRequest(http.MethodGet, "look")
		revoked.vm = vm.address()
		got := fleet.query(revoked)
		assert.Assert(fleet.t, got.status != http.StatusOK, "%s", vm.address())
		got = fleet.query(open)
		assert.Equal(fleet.t, got.status, http.StatusOK, "%s: %s", vm.address(), got.body)
		time.Sleep(interval)
	}
}
