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

// evacuationBound is the bound in which an evacuation must be known, as the users have it where VMs read through others.
const evacuationBound = 5 * time.Second

// evacuate writes, or takes back, the operator's wish that a data centre's servers get nothing.
func (fleet *fleet) evacuate(dataCentre string, wished bool) {
	var value []byte
	if wished {
		value = []byte("{}")
	}
	fleet.store.Put("keyed.op", "evacuate/"+dataCentre, value)
}

// inDataCentres lists the servers of each service in as many data centres in turn.
func (fleet *fleet) inDataCentres(count int) {
	for number, server := range fleet.servers {
		fleet.listIn(server, dataCentreOf(number, count))
	}
	time.Sleep(knownTimeOfEntries)
}

// listIn lists a server as one of a data centre.
func (fleet *fleet) listIn(server *fleetServer, dataCentre string) {
	fleet.listWith(server.id(), map[string]any{
		"service": server.service, "address": server.address, "zone": dataCentre, "slots": 16, "state": "ready",
	})
}

// restartAll stops all VMs, and starts them again.
func (fleet *fleet) restartAll() {
	fleet.stopAll()
	fleet.startAll()
}

// dataCentreOf is that of the server with a number, where those of both services are in count data centres in turn.
func dataCentreOf(number, count int) string {
	return fmt.Sprintf("centre-%d", number/2%count)
}

// sentTo counts the requests that reached the servers of a data centre from a moment on.
func (fleet *fleet) sentTo(dataCentre string, count int, from time.Time) int {
	sent := 0
	for number, server := range fleet.servers {
		if dataCentreOf(number, count) != dataCentre {
			continue
		}
		for _, at := range fleet.reached(server.id()) {
			if !at.Before(from) {
				sent++
			}
		}
	}
	return sent
}

// TestEvacuatedDataCentre has an operator who wishes that the servers of one of three data centres get nothing. Once that
// had to be known, none of them gets a request of either kind from any VM, and all requests are served elsewhere.
func TestEvacuatedDataCentre(t *testing.T) {
	const emptied, dataCentres = "centre-1", 3
	for name, test := range map[string]struct {
		// act is what happens from the wish on; the servers are checked after it.
		act func(fleet *fleet)
		// stays says that the servers may go on.
		stays bool
	}{
		"wished": {act: func(fleet *fleet) { fleet.evacuate(emptied, true) }},
		"asked twice": {act: func(fleet *fleet) {
			fleet.evacuate(emptied, true)
			time.Sleep(time.Second)
			fleet.evacuate(emptied, true)
		}},
		"taken back and wished again in a moment": {act: func(fleet *fleet) {
			fleet.evacuate(emptied, true)
			fleet.evacuate(emptied, false)
			fleet.evacuate(emptied, true)
		}},
		"with words that nobody understands": {act: func(fleet *fleet) {
			fleet.store.Put("keyed.op", "evacuate/"+emptied, []byte("now"))
		}},
		"a new configuration comes after it": {act: func(fleet *fleet) {
			fleet.evacuate(emptied, true)
			time.Sleep(evacuationBound)
			fleet.configure(2, nil)
			time.Sleep(evacuationBound)
		}},
		"all VMs start again": {act: func(fleet *fleet) {
			fleet.evacuate(emptied, true)
			fleet.restartAll()
		}},
		"the store forgets its history": {act: func(fleet *fleet) {
			fleet.evacuate(emptied, true)
			time.Sleep(evacuationBound)
			fleet.store.Trim("keyed.op")
			fleet.configure(2, nil)
		}},
		"the store comes back from before it": {act: func(fleet *fleet) {
			older := fleet.store.Copy()
			fleet.evacuate(emptied, true)
			time.Sleep(evacuationBound)
			fleet.store.SetFault(metastore.FaultBusy)
			time.Sleep(300 * time.Millisecond)
			fleet.store.Return(older)
			fleet.store.SetFault(metastore.FaultNone)
			time.AfterFunc(1800*time.Millisecond, func() { fleet.evacuate(emptied, true) })
		}},
		"the store is away from then on": {act: func(fleet *fleet) {
			fleet.evacuate(emptied, true)
			time.Sleep(evacuationBound)
			fleet.store.SetFault(metastore.FaultSilent)
		}},
		"taken back": {stays: true, act: func(fleet *fleet) {
			fleet.evacuate(emptied, true)
			time.Sleep(evacuationBound)
			fleet.evacuate(emptied, false)
		}},
		"taken back while the store tells an older moment": {stays: true, act: func(fleet *fleet) {
			fleet.evacuate(emptied, true)
			time.Sleep(evacuationBound)
			older := fleet.store.Copy()
			fleet.evacuate(emptied, false)
			time.Sleep(evacuationBound)
			fleet.store.Return(older)
			time.AfterFunc(time.Second, func() { fleet.evacuate(emptied, false) })
		}},
		"one that nobody knows": {stays: true, act: func(fleet *fleet) { fleet.evacuate("centre-9", true) }},
		"one without a name":    {stays: true, act: func(fleet *fleet) { fleet.evacuate("", true) }},
	} {
		for _, vms := range []int{1, 6} {
			t.Run(fmt.Sprint(name, ", ", vms, " VMs"), func(t *testing.T) {
				inFleetBound(t, vms, 6, evacuationBound, func(fleet *fleet) {
					fleet.inDataCentres(dataCentres)
					test.act(fleet)
					time.Sleep(evacuationBound)
					known := time.Now()
					answers := slices.Concat(
						fleet.askFor(plain(http.MethodGet, "open").with("Authorization", ""), 5*time.Millisecond, 2*time.Second),
						fleet.askFor(stream("chat"), 20*time.Millisecond, 2*time.Second))
					for _, got := range answers {
						assert.Assert(fleet.t, got.status == http.StatusOK || got.status == http.StatusServiceUnavailable)
					}
					sent := fleet.sentTo(emptied, dataCentres, known)
					assert.Equal(fleet.t, sent > 0, test.stays, "%d requests got there", sent)
				})
			})
		}
	}
}

// TestAllDataCentresEvacuated has an operator who empties all data centres: callers are told at once that their requests
// did not run, and served again once one is taken back.
func TestAllDataCentresEvacuated(t *testing.T) {
	const dataCentres = 2
	inFleetBound(t, 3, 4, evacuationBound, func(fleet *fleet) {
		fleet.inDataCentres(dataCentres)
		for number := range dataCentres {
			fleet.evacuate(dataCentreOf(2*number, dataCentres), true)
		}
		time.Sleep(evacuationBound)
		for _, caller := range []caller{plain(http.MethodGet, "look"), plain(http.MethodPost, "pay"), stream("chat")} {
			got := fleet.ask(caller)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.took < 50*time.Millisecond, "%s", got.took)
			assert.Assert(t, got.header.Get("Retry-After") != "")
		}
		assert.Equal(t, len(fleet.requests()), 0)
		fleet.evacuate(dataCentreOf(0, dataCentres), false)
		time.Sleep(evacuationBound)
		assert.Equal(t, fleet.ask(plain(http.MethodGet, "look")).status, http.StatusOK)
	})
}
