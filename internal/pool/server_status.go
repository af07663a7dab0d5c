package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/backpressure"
)

// ServerStatus is the state of one start of a server as seen by one VM, for operators.
type ServerStatus struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Listing    string `json:"listing"`
	// Running is the number of requests in flight from all VMs, without those that prefill a part
	// of a prompt for another server.
	Running int `json:"running"`
	// Suspect is set after recent failures.
	Suspect bool `json:"suspect"`
	// DrainingReportedBy is the source that first reported the draining: "list" for the server
	// list, or the VM that got the server's response. It is empty for a server that is not
	// draining.
	DrainingReportedBy string `json:"leaving_told_by,omitempty"`
	// Backoffs has the VMs from which the server accepts nothing now.
	Backoffs []BackoffStatus `json:"rests,omitempty"`
	// Limit is the advertised rate limit, or nil for none.
	Limit *LimitStatus `json:"limit,omitempty"`
	// ColdSeconds is the remaining time for which the server is cold, or zero.
	ColdSeconds float64 `json:"cold_seconds,omitempty"`
}

// Values of ServerStatus.Listing.
const (
	ListingListed   = "listed"
	ListingMissing  = "missing"
	ListingReplaced = "replaced"
	ListingInvalid  = "entry is bad"
	ListingClosed   = "address is another's"
	// ListingEvacuated is for a listed server in an evacuated data centre.
	ListingEvacuated = "evacuated"
)

// BackoffStatus is the remaining backoff of a server for one VM.
type BackoffStatus struct {
	VM      string  `json:"vm"`
	Seconds float64 `json:"seconds"`
}

// LimitStatus is a server's limit on the requests from all VMs together.
type LimitStatus struct {
	PerSecond float64 `json:"per_second"`
	// Lifted is set if the server no longer advertises the limit, and the load is being increased
	// step by step.
	Lifted bool `json:"lifted"`
	// AdvertisedSeconds is the time since the server last advertised the limit, or since the request
	// whose response lifted it.
	AdvertisedSeconds float64 `json:"said_seconds"`
	// Available is the number of requests that this VM may assign to the server now. It is negative
	// after the limit was exceeded.
	Available float64 `json:"available"`
}

// Status returns the state of all servers, sorted by service and ID.
func (pool *Pool) Status() []ServerStatus {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	list := make([]ServerStatus, 0, len(pool.servers))
	for id, server := range pool.servers {
		snapshot := server.snapshot(now, pool.settings)
		list = append(list, ServerStatus{
			ID: id, Service: server.entry.Service, Address: server.entry.Address, DataCentre: server.entry.DataCentre,
			Listing: pool.listing(server), Running: snapshot.Running, Suspect: snapshot.Suspect, DrainingReportedBy: server.drainingReportedBy,
			Backoffs: pool.backoffsOf(id, now), Limit: limitStatus(server.limit, pool.publisher.Share(), now),
			ColdSeconds: server.coldSeconds(now),
		})
	}
	slices.SortFunc(list, func(a, b ServerStatus) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.ID, b.ID))
	})
	return list
}

func (pool *Pool) listing(server *server) string {
	switch {
	case server.replaced:
		return ListingReplaced
	case server.closed:
		return ListingClosed
	case server.entryInvalid:
		return ListingInvalid
	case !server.missingSince.IsZero():
		return ListingMissing
	case pool.isEvacuated(server):
		return ListingEvacuated
	default:
		return ListingListed
	}
}

func (server *server) coldSeconds(now time.Time) float64 {
	if server.coldStart == nil {
		return 0
	}
	return max(0, server.coldStart.until.Sub(now).Seconds())
}

func (pool *Pool) backoffsOf(id string, now time.Time) []BackoffStatus {
	var list []BackoffStatus
	for vm := range pool.inBackoff {
		if until, inBackoff := pool.inBackoff.End(vm, id, now); inBackoff {
			list = append(list, BackoffStatus{VM: vm, Seconds: until.Sub(now).Seconds()})
		}
	}
	slices.SortFunc(list, func(a, b BackoffStatus) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

func limitStatus(limit backpressure.RateLimit, share float64, now time.Time) *LimitStatus {
	advertisement, found := limit.Advertisement()
	if !found || !limit.InForce(now) {
		return nil
	}
	return &LimitStatus{
		PerSecond: advertisement.PerSecond, Lifted: !advertisement.Advertised, AdvertisedSeconds: now.Sub(advertisement.At).Seconds(),
		Available: limit.Available(share, now),
	}
}
