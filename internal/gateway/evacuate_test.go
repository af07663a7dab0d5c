package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/mastwinch/mastwinch/internal/standin/metastore"
)

// evacuationBound is the time within which every VM must apply an evacuation, also where VMs read the store through
// other VMs.
const evacuationBound = 5 * time.Second

// evacuate writes or deletes the operator's request to evacuate a data centre.
func (fleet *fleet) evacuate(dataCentre string, evacuated bool) {
	var value []byte
	if evacuated {
		value = []byte("{}")
	}
	fleet.store.Put("keyed.op", "evacuate/"+dataCentre, value)
}

// distributeServers lists the servers of each service in count data centres, round-robin.
func (fleet *fleet) distributeServers(count int) {
	for index, server := range fleet.servers {
		fleet.putServerIn(server, dataCentreOf(index, count))
	}
	time.Sleep(entryPropagation)
}

// putServerIn writes the entry of a server as one of a data centre.
func (fleet *fleet) putServerIn(server *fleetServer, dataCentre string) {
	fleet.putServerFields(server.id(), map[string]any{
		"service": server.service, "address": server.address, "zone": dataCentre, "slots": 16, "state": "ready",
	})
}

// restartAll stops and starts all VMs.
func (fleet *fleet) restartAll() {
	fleet.stopAll()
	fleet.startAll()
}

// dataCentreOf returns the data centre of the server with an index, where the servers of both services are distributed
// over count data centres.
func dataCentreOf(index, count int) string {
	return fmt.Sprintf("centre-%d", index/2%count)
}

// sentTo counts the requests that reached the servers of a data centre at or after a time. There are count data centres.
func (fleet *fleet) sentTo(dataCentre string, count int, from time.Time) int {
	sent := 0
	for index, server := range fleet.servers {
		if dataCentreOf(index, count) != dataCentre {
			continue
		}
		for _, at := range fleet.arrivals(server.id()) {
			if !at.Before(from) {
				sent++
			}
		}
	}
	return sent
}

// TestEvacuatedDataCentreReceivesNoRequests has an operator who evacuates one of three data centres. Once the bound has
// passed, its servers must receive no streaming or plain request from any VM. Repeated requests, an invalid value, restarts of
// the VMs and rollbacks of the store must not change that; only a cancellation ends the evacuation.
func TestEvacuatedDataCentreReceivesNoRequests(t *testing.T) {
	const evacuatedDataCentre, dataCentres = "centre-1", 3
	for name, test := range map[string]struct {
		// act evacuates the data centre and does what else the case needs; the servers are checked after it.
		act func(fleet *fleet)
		// mayServe means that the servers still receive requests.
		mayServe bool
	}{
		"evacuated": {act: func(fleet *fleet) { fleet.evacuate(evacuatedDataCentre, true) }},
		"requested twice": {act: func(fleet *fleet) {
			fleet.evacuate(evacuatedDataCentre, true)
			time.Sleep(time.Second)
			fleet.evacuate(evacuatedDataCentre, true)
		}},
		"cancelled and requested again at once": {act: func(fleet *fleet) {
			fleet.evacuate(evacuatedDataCentre, true)
			fleet.evacuate(evacuatedDataCentre, false)
			fleet.evacuate(evacuatedDataCentre, true)
		}},
		"value that is not JSON": {act: func(fleet *fleet) {
			fleet.store.Put("keyed.op", "evacuate/"+evacuatedDataCentre, []byte("now"))
		}},
		"followed by a new configuration": {act: func(fleet *fleet) {
			fleet.evacuate(evacuatedDataCentre, true)
			time.Sleep(evacuationBound)
			fleet.configure(2, nil)
			time.Sleep(evacuationBound)
		}},
		"all VMs restart": {act: func(fleet *fleet) {
			fleet.evacuate(evacuatedDataCentre, true)
			fleet.restartAll()
		}},
		"store trims its history": {act: func(fleet *fleet) {
			fleet.evacuate(evacuatedDataCentre, true)
			time.Sleep(evacuationBound)
			fleet.store.Trim("keyed.op")
			fleet.configure(2, nil)
		}},
		"store rolls back to an earlier state": {act: func(fleet *fleet) {
			snapshot := fleet.store.Snapshot()
			fleet.evacuate(evacuatedDataCentre, true)
			time.Sleep(evacuationBound)
			fleet.store.SetFault(metastore.FaultBusy)
			time.Sleep(300 * time.Millisecond)
			fleet.store.Restore(snapshot)
			fleet.store.SetFault(metastore.FaultNone)
			time.AfterFunc(1800*time.Millisecond, func() { fleet.evacuate(evacuatedDataCentre, true) })
		}},
		"store unreachable afterwards": {act: func(fleet *fleet) {
			fleet.evacuate(evacuatedDataCentre, true)
			time.Sleep(evacuationBound)
			fleet.store.SetFault(metastore.FaultNoResponse)
		}},
		"cancelled": {mayServe: true, act: func(fleet *fleet) {
			fleet.evacuate(evacuatedDataCentre, true)
			time.Sleep(evacuationBound)
			fleet.evacuate(evacuatedDataCentre, false)
		}},
		"cancelled, then store rolls back": {mayServe: true, act: func(fleet *fleet) {
			fleet.evacuate(evacuatedDataCentre, true)
			time.Sleep(evacuationBound)
			snapshot := fleet.store.Snapshot()
			fleet.evacuate(evacuatedDataCentre, false)
			time.Sleep(evacuationBound)
			fleet.store.Restore(snapshot)
			time.AfterFunc(time.Second, func() { fleet.evacuate(evacuatedDataCentre, false) })
		}},
		"unknown data centre":        {mayServe: true, act: func(fleet *fleet) { fleet.evacuate("centre-9", true) }},
		"data centre without a name": {mayServe: true, act: func(fleet *fleet) { fleet.evacuate("", true) }},
	} {
		for _, vms := range []int{1, 6} {
			t.Run(fmt.Sprint(name, ", ", vms, " VMs"), func(t *testing.T) {
				withFleetApplyBound(t, vms, 6, evacuationBound, func(fleet *fleet) {
					fleet.distributeServers(dataCentres)
					test.act(fleet)
					time.Sleep(evacuationBound)
					appliedAt := time.Now()
					responses := slices.Concat(
						fleet.queryEvery(plainRequest(http.MethodGet, "open").with("Authorization", ""), 5*time.Millisecond, 2*time.Second),
						fleet.queryEvery(streamRequest("chat"), 20*time.Millisecond, 2*time.Second))
					for _, got := range responses {
						assert.Assert(fleet.t, got.status == http.StatusOK || got.status == http.StatusServiceUnavailable)
					}
					sent := fleet.sentTo(evacuatedDataCentre, dataCentres, appliedAt)
					assert.Equal(fleet.t, sent > 0, test.mayServe, "%d requests reached its servers", sent)
				})
			})
		}
	}
}

// TestAllDataCentresEvacuated has an operator who evacuates all data centres. Requests must be refused at once, before any
// server receives them, and be served again once the evacuation of one data centre is cancelled.
func TestAllDataCentresEvacuated(t *testing.T) {
	const dataCentres = 2
	withFleetApplyBound(t, 3, 4, evacuationBound, func(fleet *fleet) {
		fleet.distributeServers(dataCentres)
		for index := range dataCentres {
			fleet.evacuate(dataCentreOf(2*index, dataCentres), true)
		}
		time.Sleep(evacuationBound)
		for _, callerRequest := range []callerRequest{plainRequest(http.MethodGet, "look"), plainRequest(http.MethodPost, "pay"), streamRequest("chat")} {
			got := fleet.query(callerRequest)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.duration < 50*time.Millisecond, "%s", got.duration)
			assert.Assert(t, got.header.Get("Retry-After") != "")
		}
		assert.Equal(t, len(fleet.requests()), 0)
		fleet.evacuate(dataCentreOf(0, dataCentres), false)
		time.Sleep(evacuationBound)
		assert.Equal(t, fleet.query(plainRequest(http.MethodGet, "look")).status, http.StatusOK)
	})
}
