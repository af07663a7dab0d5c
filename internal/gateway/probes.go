package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/pool"
	"github.com/mastwinch/mastwinch/internal/reachability"
	"github.com/mastwinch/mastwinch/internal/upstream"
	"github.com/mastwinch/mastwinch/internal/wait"
)

// probeCheckInterval is the time between checks whether a probe of the servers is due.
const probeCheckInterval = 50 * time.Millisecond

// probeServers probes servers while the VM's own links are in doubt, until ctx is done. So no request of a caller tries links
// that may lose it.
func (gateway *Gateway) probeServers(ctx context.Context) {
	var probes sync.WaitGroup
	defer probes.Wait()
	for wait.For(ctx, probeCheckInterval) {
		if gateway.links.Verdict() == reachability.Reachable {
			continue
		}
		target, found := gateway.probeTarget()
		if !found || !gateway.links.TakeProbe() {
			continue
		}
		times := gateway.probeTimes()
		probes.Go(func() {
			result := gateway.upstream.Probe(ctx, target, times)
			gateway.metrics.probes.WithLabelValues(string(result)).Inc()
		})
	}
}

// probeTimes returns the times of the next probe. Links that count as cut are probed for their return alone, which other VMs can't
// tell.
func (gateway *Gateway) probeTimes() upstream.ProbeTimes {
	settings := gateway.settings.Reachability
	times := upstream.ProbeTimes{Timeout: settings.ProbeTimeout}
	if gateway.links.Verdict() != reachability.Unreachable {
		times.Compare = settings.ProbeCompare
	}
	return times
}

// probeTarget returns a random server that can be probed, if possible one that is not known to be out of reach.
func (gateway *Gateway) probeTarget() (upstream.ProbeTarget, bool) {
	current := gateway.operatorState.current.Load()
	if current == nil {
		return upstream.ProbeTarget{}, false
	}
	locations := gateway.pool.Locations()
	shuffleLocations(locations)
	var target upstream.ProbeTarget
	for _, location := range locations {
		service, found := current.Service(location.Service)
		if !found || service.ProbePath == "" {
			continue
		}
		target = upstream.ProbeTarget{Address: location.Address, Path: service.ProbePath}
		if !gateway.links.IsUnreached(location.Address) {
			break
		}
	}
	return target, target.Address != ""
}

func shuffleLocations(locations []pool.Location) {
	rand.Shuffle(len(locations), func(i, j int) { //nolint:gosec // not used for security
		locations[i], locations[j] = locations[j], locations[i]
	})
}
