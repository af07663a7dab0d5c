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

// regionsOf has the region of each data centre of a fleet.
func regionsOf() map[string]string {
	return map[string]string{"centre-0": "east", "centre-1": "east", "centre-2": "west"}
}

// keepIn names the regions to which the operator keeps requests of a route, or of an organisation.
func keepIn(configuration map[string]any, list, name string, regions ...string) {
	for _, item := range configuration[list].([]any) {
		if fields := item.(map[string]any); fields["name"] == name {
			fields["allowed_regions"] = regions
		}
	}
}

// TestRequestsStayInTheirRegions has routes and an organisation whose requests the operator keeps to regions: no server of
// another one gets a request of theirs, whichever VM took it, also where a server fails, and all are served while the
// region has servers. Where it has none that may get them they are refused at once, as not run.
func TestRequestsStayInTheirRegions(t *testing.T) {
	const dataCentres = 3
	for name, test := range map[string]struct {
		configure func(configuration map[string]any)
		act       func(fleet *fleet)
		// allowed are the data centres whose servers may get requests.
		allowed []string
		refused bool
	}{
		"route": {
			configure: func(configuration map[string]any) {
				keepIn(configuration, "routes", "chat", "west")
				keepIn(configuration, "routes", "look", "west")
			},
			allowed: []string{"centre-2"},
		},
		"organisation": {
			configure: func(configuration map[string]any) { keepIn(configuration, "tenants", "register", "west") },
			allowed:   []string{"centre-2"},
		},
		"route and organisation": {
			configure: func(configuration map[string]any) {
				keepIn(configuration, "tenants", "register", "east")
				keepIn(configuration, "routes", "chat", "west", "east")
				keepIn(configuration, "routes", "look", "east", "west")
			},
			allowed: []string{"centre-0", "centre-1"},
		},
		"route and organisation that have none in common": {
			configure: func(configuration map[string]any) {
				keepIn(configuration, "tenants", "register", "east")
				keepIn(configuration, "routes", "chat", "west")
				keepIn(configuration, "routes", "look", "west")
			},
			refused: true,
		},
		"region that has no data centre": {
			configure: func(configuration map[string]any) { keepIn(configuration, "tenants", "register", "south") },
			refused:   true,
		},
		"no region is named": {
			configure: func(configuration map[string]any) { keepIn(configuration, "tenants", "register") },
			allowed:   []string{"centre-0", "centre-1", "centre-2"},
		},
		"its only data centre is evacuated": {
			configure: func(configuration map[string]any) { keepIn(configuration, "tenants", "register", "west") },
			act:       func(fleet *fleet) { fleet.evacuate("centre-2", true) },
			refused:   true,
		},
		"a server there fails": {
			configure: func(configuration map[string]any) { keepIn(configuration, "tenants", "register", "west") },
			act: func(fleet *fleet) {
				for _, server := range fleet.servers[4:6] { // one of each service there
					server.script = refuses(http.StatusServiceUnavailable)
				}
			},
			allowed: []string{"centre-2"},
		},
	} {
		for _, vms := range []int{1, 6} {
			t.Run(fmt.Sprint(name, ", ", vms, " VMs"), func(t *testing.T) {
				inFleetBound(t, vms, 6, evacuationBound, func(fleet *fleet) {
					fleet.inDataCentres(dataCentres)
					if test.act != nil {
						test.act(fleet)
					}
					fleet.configure(2, test.configure)
					time.Sleep(evacuationBound)
					known := time.Now()
					answers := slices.Concat(
						fleet.repeat(plain(http.MethodGet, "look"), 10*time.Millisecond, time.Second),
						fleet.repeat(stream("chat"), 20*time.Millisecond, time.Second),
						fleet.repeat(stream("chat").with("Token-Counts", "60000,80"), 500*time.Millisecond, time.Second))
					fleet.assertKept(test.allowed, dataCentres, known)
					if test.refused {
						assertRefused(t, answers)
					} else {
						assertServed(t, answers)
					}
				})
			})
		}
	}
}

// assertKept checks that no server of another data centre than those allowed got a request from a moment on.
func (fleet *fleet) assertKept(allowed []string, dataCentres int, from time.Time) {
	for number := range dataCentres {
		dataCentre := fmt.Sprintf("centre-%d", number)
		if !slices.Contains(allowed, dataCentre) {
			assert.Check(fleet.t, fleet.sentTo(dataCentre, dataCentres, from) == 0, dataCentre)
		}
	}
}

// assertRefused checks that all were refused at once, and were told why.
func assertRefused(t *testing.T, answers []answer) {
	t.Helper()
	for _, answer := range answers {
		assert.Equal(t, answer.status, http.StatusServiceUnavailable)
		assert.Assert(t, answer.took < 100*time.Millisecond, "refused after %s", answer.took)
		assert.Assert(t, strings.Contains(answer.body, "region") || strings.Contains(answer.body, "evacuated"), answer.body)
	}
}

// assertServed checks that nearly all were served.
func assertServed(t *testing.T, answers []answer) {
	t.Helper()
	served := 0
	for _, answer := range answers {
		if answer.status == http.StatusOK && answer.whole {
			served++
		}
	}
	assert.Check(t, float64(served) >= 0.98*float64(len(answers)), "%d of %d served", served, len(answers))
}
