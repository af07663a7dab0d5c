package dispatch

import (
	"time"

	"github.com/mastwinch/mastwinch/internal/fairshare"
)

// divisionTTL is how long a division of servers is used. It bounds the processor time under a high
// rate of requests; engines free few slots in this time.
const divisionTTL = 20 * time.Millisecond

// usedFraction is the fraction of what is in use that is divided while requests are queued. The rest
// is what the largest organisations are over their shares.
const usedFraction = 0.95

// division is the division of the servers of one service with the time at which it was made.
type division struct {
	fairshare.Division

	at time.Time
	// perSlot is the number of servers that have one slot together.
	perSlot float64
	// full reports that the servers are used as far as the settings divide them.
	full bool
	// limited reports that the servers accept limited rates of requests, which are divided then
	// instead of the servers.
	limited bool
}

// divideAll divides the servers of all services with queued requests.
func (queue *Queue) divideAll(servers Servers, now time.Time) {
	for _, request := range queue.requests {
		queue.divide(request, servers, now)
	}
}

// divide divides the servers of a request's service unless that was done a moment ago.
func (queue *Queue) divide(request *Request, servers Servers, now time.Time) {
	shares := queue.shares
	if !shares.settings.Enabled || now.Sub(shares.divisions[request.Service].at) < divisionTTL {
		return
	}
	if perSecond, limited := servers.AcceptedRate(request); limited {
		shares.divisions[request.Service] = shares.divideRate(request.Service, perSecond, now)
		return
	}
	shares.divisions[request.Service] = shares.divideServers(servers.Usage(request.Service), now)
}

// divideServers divides the servers of a service. Requests are queued for them, so what is in use may
// be all there is, even if that is less than the settings divide.
func (shares *shares) divideServers(usage fairshare.Usage, now time.Time) division {
	used := usage.Total()
	limit := shares.settings.Utilisation * usage.Capacity()
	divided := division{
		Division: fairshare.Divide(min(limit, usedFraction*used), usage.Used, shares.weights), at: now, full: used > limit,
	}
	if usage.Slots > 0 {
		divided.perSlot = float64(usage.Servers) / float64(usage.Slots)
	}
	return divided
}

// divideRate divides the rate of requests that the servers of a service accept.
func (shares *shares) divideRate(service string, perSecond float64, now time.Time) division {
	used := make(map[fairshare.Organisation]fairshare.Use)
	for flow, throughput := range shares.throughputs {
		if flow.Service == service {
			used[flow.Organisation] = used[flow.Organisation].With(flow.Length, throughput.PerSecond(throughputWindow(flow), now))
		}
	}
	return division{Division: fairshare.Divide(perSecond, used, shares.weights), at: now, limited: true}
}

// OverShare is an organisation that uses more than its share of the servers of a service.
type OverShare struct {
	Service      string
	Organisation fairshare.Organisation
	// Ratio is its use as a multiple of its share, and Share the share of an organisation of weight
	// one, in servers.
	Ratio float64
	Share float64
}

// overShareTTL is how long after a division organisations are reported as over their shares.
const overShareTTL = time.Second

// OverShares returns the organisations over their shares of services with queued requests.
func (queue *Queue) OverShares(now time.Time) []OverShare {
	var overShares []OverShare
	for service, division := range queue.shares.divisions {
		if now.Sub(division.at) > overShareTTL {
			continue
		}
		for _, organisation := range division.Over() {
			overShares = append(overShares, OverShare{
				Service: service, Organisation: organisation, Ratio: division.Ratio(organisation), Share: division.Level(),
			})
		}
	}
	return overShares
}
