package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleetRegions returns the region of each data centre of a fleet, by the data centre's name.
func fleetRegions() map[string]string {
	return map[string]string{"centre-0": "east", "centre-1": "east", "centre-2": "west"}
}

// restrictRegions sets the allowed regions of the route or organisation with a name. list is the key of the list that has it.
func restrictRegions(configuration map[string]any, list, name string, regions ...string) {
	for _, item := range configuration[list].([]any) {
		if fields := item.(map[string]any); fields["name"] == name {
			fields["allowed_regions"] = regions
		}
	}
}

// TestRequestsStayInAllowedRegions has routes and an organisation that are restricted to regions. No server of another region
// may receive their requests, whichever VM accepts them and also when a server fails, and all requests must be served while
// an allowed region has servers. Where none has, they must be refused at once as not run.
func TestRequestsStayInAllowedRegions(t *testing.T) {
	const dataCentres = 3
	for name, test := range map[string]struct {
		configure func(configuration map[string]any)
		act       func(fleet *fleet)
		// allowed are the data centres whose servers may receive requests.
		allowed []string
		refused bool
	}{
		"route": {
			configure: func(configuration map[string]any) {
				restrictRegions(configuration, "routes", "chat", "west")
				restrictRegions(configuration, "routes", "look", "west")
			},
			allowed: []string{"centre-2"},
		},
		"organisation": {
			configure: func(configuration map[string]any) { restrictRegions(configuration, "tenants", "register", "west") },
			allowed:   []string{"centre-2"},
		},
		"route and organisation": {
			configure: func(configuration map[string]any) {
				restrictRegions(configuration, "tenants", "register", "east")
				restrictRegions(configuration, "routes", "chat", "west", "east")
				restrictRegions(configuration, "routes", "look", "east", "west")
			},
			allowed: []string{"centre-0", "centre-1"},
		},
		"route and organisation without a common region": {
			configure: func(configuration map[string]any) {
				restrictRegions(configuration, "tenants", "register", "east")
				restrictRegions(configuration, "routes", "chat", "west")
				restrictRegions(configuration, "routes", "look", "west")
			},
			refused: true,
		},
		"region without data centres": {
			configure: func(configuration map[string]any) { restrictRegions(configuration, "tenants", "register", "south") },
			refused:   true,
		},
		"empty list of regions": {
			configure: func(configuration map[string]any) { restrictRegions(configuration, "tenants", "register") },
			allowed:   []string{"centre-0", "centre-1", "centre-2"},
		},
		"only data centre of the region evacuated": {
			configure: func(configuration map[string]any) { restrictRegions(configuration, "tenants", "register", "west") },
			act:       func(fleet *fleet) { fleet.evacuate("centre-2", true) },
			refused:   true,
		},
		"server in the region fails": {
			configure: func(configuration map[string]any) { restrictRegions(configuration, "tenants", "register", "west") },
			act: func(fleet *fleet) {
				for _, server := range fleet.servers[4:6] { // one of each service in the region
					server.script = refuse(http.StatusServiceUnavailable)
				}
			},
			allowed: []string{"centre-2"},
		},
	} {
		for _, vms := range []int{1, 6} {
			t.Run(fmt.Sprint(name, ", ", vms, " VMs"), func(t *testing.T) {
				withFleetApplyBound(t, vms, 6, evacuationBound, func(fleet *fleet) {
					fleet.distributeServers(dataCentres)
					if test.act != nil {
						test.act(fleet)
					}
					fleet.configure(2, test.configure)
					time.Sleep(evacuationBound)
					appliedAt := time.Now()
					responses := slices.Concat(
						fleet.queryRetrying(plainRequest(http.MethodGet, "look"), 10*time.Millisecond, time.Second),
						fleet.queryRetrying(streamRequest("chat"), 20*time.Millisecond, time.Second),
						fleet.queryRetrying(streamRequest("chat").with("Token-Counts", "60000,80"), 500*time.Millisecond, time.Second))
					fleet.assertOnlySentTo(test.allowed, dataCentres, appliedAt)
					if test.refused {
						assertRefused(t, responses)
					} else {
						assertServed(t, responses)
					}
				})
			})
		}
	}
}

// TestRequestsAreLedThroughAllowedRegionsOnly guards against the body of a request that is restricted to a region being led through a VM
// of another one, when the VM that has the request reaches no server itself.
func TestRequestsAreLedThroughAllowedRegionsOnly(t *testing.T) {
	const dataCentres = 3
	for name, test := range map[string]struct {
		// alsoCut is the VM that is cut off beside the first one, which is in the region "east".
		alsoCut    int
		wantStatus int
	}{
		"a VM of the region reaches the servers":   {alsoCut: 2, wantStatus: http.StatusOK},
		"only a VM of another region reaches them": {alsoCut: 1, wantStatus: http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			withFleetApplyBound(t, 3, 6, evacuationBound, func(fleet *fleet) {
				fleet.distributeServers(dataCentres)
				fleet.configure(2, func(configuration map[string]any) { restrictRegions(configuration, "routes", "look", "west") })
				time.Sleep(evacuationBound)
				fleet.vms[0].network.begin(cutRefuses, serverPrefix)
				fleet.vms[test.alsoCut].network.begin(cutRefuses, serverPrefix)
				appliedAt := time.Now()
				got := fleet.query(plainRequest(http.MethodGet, "look").with("Deadline-Ms", "2000"))
				assert.Equal(t, got.status, test.wantStatus, got.body)
				fleet.assertOnlySentTo([]string{"centre-2"}, dataCentres, appliedAt)
			})
		})
	}
}

// assertOnlySentTo checks that no server outside the allowed data centres received a request at or after a time.
func (fleet *fleet) assertOnlySentTo(allowed []string, dataCentres int, from time.Time) {
	for index := range dataCentres {
		dataCentre := fmt.Sprintf("centre-%d", index)
		if !slices.Contains(allowed, dataCentre) {
			assert.Check(fleet.t, fleet.sentTo(dataCentre, dataCentres, from) == 0, dataCentre)
		}
	}
}

// assertRefused checks that all requests were refused at once, with the reason in the body.
func assertRefused(t *testing.T, responses []callerResponse) {
	t.Helper()
	for _, callerResponse := range responses {
		assert.Equal(t, callerResponse.status, http.StatusServiceUnavailable)
		assert.Assert(t, callerResponse.duration < 100*time.Millisecond, "refused after %s", callerResponse.duration)
		assert.Assert(t, strings.Contains(callerResponse.body, "region") || strings.Contains(callerResponse.body, "evacuated"), callerResponse.body)
	}
}

// assertServed checks that at least 98 % of the requests were served.
func assertServed(t *testing.T, responses []callerResponse) {
	t.Helper()
	served := 0
	for _, callerResponse := range responses {
		if callerResponse.status == http.StatusOK && callerResponse.complete {
			served++
		}
	}
	assert.Check(t, float64(served) >= 0.98*float64(len(responses)), "%d of %d served", served, len(responses))
}
