package dispatch

import (
	"cmp"
	"maps"
	"time"

	"github.com/mastwinch/mastwinch/internal/fairshare"
)

// shortThroughputWindow is the time over which placements of short requests are averaged: about as
// long as one runs, so that each of its slots was freed about once.
const shortThroughputWindow = time.Second

// shares divides the servers of each service among organisations, and among priorities.
//
// It answers the load of organisations that send far more than their shares: their requests go after
// those of the others, and wait while the share is used up. The others are served as if the excess
// had not been sent.
type shares struct {
	settings fairshare.Settings
	weights  map[fairshare.Organisation]float64
	// divisions has the current division of each service.
	divisions map[string]division
	// throughputs has how many requests of each organisation are placed at each service per second.
	throughputs map[fairshare.Flow]fairshare.Rate
	// asked has how many requests of each organisation arrive for each service per second.
	asked map[fairshare.Flow]fairshare.Rate
	// waiting has, by service, since when requests within their shares wait for servers.
	waiting map[string]waiting
	// retryTimes has the retry time given to the last caller of each organisation that was refused
	// since the organisation had used its share.
	retryTimes map[fairshare.Flow]time.Time
	// priorities has what each priority got of each service.
	priorities map[string]fairshare.Priorities
	// forgotAt is when idle organisations were last forgotten.
	forgotAt time.Time
}

func newShares(settings fairshare.Settings) *shares {
	return &shares{
		settings:    settings,
		weights:     settings.WeightsByOrganisation(),
		divisions:   make(map[string]division),
		throughputs: make(map[fairshare.Flow]fairshare.Rate),
		asked:       make(map[fairshare.Flow]fairshare.Rate),
		waiting:     make(map[string]waiting),
		retryTimes:  make(map[fairshare.Flow]time.Time),
		priorities:  make(map[string]fairshare.Priorities),
	}
}

func flowOf(request *Request) fairshare.Flow {
	return fairshare.Flow{Service: request.Service, Organisation: request.Placement.Organisation, Length: fairshare.LengthOf(request.Packable)}
}

// throughputWindow returns the time over which placements are averaged to predict the next ones.
func throughputWindow(flow fairshare.Flow) time.Duration {
	if flow.Length == fairshare.Long {
		return fairshare.PrefillWindow
	}
	return shortThroughputWindow
}

// excess returns what the request's organisation uses as a multiple of its share, or zero if it is
// within its share.
func (shares *shares) excess(request *Request) float64 {
	return shares.divisions[request.Service].Excess(request.Placement.Organisation, fairshare.LengthOf(request.Packable))
}

// comparePriority orders two requests to the same service by their priorities.
func (shares *shares) comparePriority(a, b *Request) int {
	if a.Priority == b.Priority {
		return 0
	}
	priorities := shares.priorities[a.Service]
	return cmp.Compare(priorities.Effective(a.Priority), priorities.Effective(b.Priority))
}

// recordArrival records that a request arrived.
func (shares *shares) recordArrival(request *Request, now time.Time) {
	if !shares.settings.Enabled {
		return
	}
	flow := flowOf(request)
	shares.asked[flow] = shares.asked[flow].WithAmount(1, throughputWindow(flow), now)
}

// recordPlacement records that a request was placed.
func (shares *shares) recordPlacement(request *Request, now time.Time) {
	shares.priorities[request.Service] = shares.priorities[request.Service].WithPlacement(request.Priority, request.servers(1), now)
	if !shares.settings.Enabled {
		return
	}
	flow := flowOf(request)
	shares.throughputs[flow] = shares.throughputs[flow].WithAmount(1, throughputWindow(flow), now)
	division := shares.divisions[request.Service]
	if now.Sub(division.at) < divisionTTL {
		division.Division = division.WithPlaced(flow.Organisation, flow.Length, request.servers(division.perSlot))
		shares.divisions[request.Service] = division
	}
}

// forgetInterval is the time between two searches for organisations that can be forgotten.
const forgetInterval = time.Second

// ForgetIdle forgets organisations that have placed nothing for a while, and retry times that have
// passed. It does nothing if it was called a moment ago.
func (queue *Queue) ForgetIdle(now time.Time) {
	shares := queue.shares
	if now.Sub(shares.forgotAt) < forgetInterval {
		return
	}
	shares.forgotAt = now
	maps.DeleteFunc(shares.retryTimes, func(_ fairshare.Flow, retryAt time.Time) bool { return retryAt.Before(now) })
	isIdle := func(flow fairshare.Flow, rate fairshare.Rate) bool { return rate.Idle(throughputWindow(flow), now) }
	maps.DeleteFunc(shares.throughputs, isIdle)
	maps.DeleteFunc(shares.asked, isIdle)
}

// servers returns what a request takes once it is placed, in servers. One slot of a plain service
// is the given number of servers.
func (request *Request) servers(perSlot float64) float64 {
	engine := request.Placement.Engine
	if engine == nil || engine.MemoryTokens == 0 {
		return perSlot
	}
	memoryFraction := float64(request.Placement.Memory) / float64(engine.MemoryTokens)
	return fairshare.Occupied(engine.Slots, memoryFraction) + fairshare.Prefilled(request.Prefill)
}
