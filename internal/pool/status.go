package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/backpressure"
)

// ServerStatus is what a VM knows of one start of a server, for operators.
type ServerStatus struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Address    string `json:"address"`
	DataCentre string `json:"data_centre"`
	Listing    string `json:"listing"`
	// Running is how many requests of all VMs that tell this one are there, parts of prompts left out.
	Running int `json:"running"`
	// Suspect says that recent answers were failures.
	Suspect bool `json:"suspect"`
	// LeavingToldBy is who first said that the server leaves: the list, or a VM that had its answer. It is empty where
	// nobody did.
	LeavingToldBy string `json:"leaving_told_by,omitempty"`
	// Rests has from whom the server rests.
	Rests []RestStatus `json:"rests,omitempty"`
	// Limit is the limit that the server named, if it did.
	Limit *LimitStatus `json:"limit,omitempty"`
	// ColdSeconds is for how much longer it is cold, or zero.
	ColdSeconds float64 `json:"cold_seconds,omitempty"`
}

// Values of ServerStatus.Listing.
const (
	ListingListed   = "listed"
	ListingMissing  = "missing"
	ListingReplaced = "replaced"
	ListingSpoilt   = "entry is bad"
	ListingClosed   = "address is another's"
	// ListingEvacuated is that of a listed server whose data centre is evacuated.
	ListingEvacuated = "evacuated"
)

// RestStatus is a rest of a server from one VM.
type RestStatus struct {
	VM      string  `json:"vm"`
	Seconds float64 `json:"seconds"`
}

// LimitStatus is a limit of a server on the requests from all VMs.
type LimitStatus struct {
	PerSecond float64 `json:"per_second"`
	// Lifted says that the server does not name it any more, and that load comes back.
	Lifted bool `json:"lifted"`
	// SaidSeconds is how long ago it was said.
	SaidSeconds float64 `json:"said_seconds"`
	// Available is how many requests the server would take now of this VM's decisions. It is below zero after more than it takes.
	Available float64 `json:"available"`
}

// Status returns what this VM knows of all servers, by service and ID.
func (pool *Pool) Status() []ServerStatus {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	list := make([]ServerStatus, 0, len(pool.servers))
	for id, server := range pool.servers {
		view := server.view(now, pool.settings)
		list = append(list, ServerStatus{
			ID: id, Service: server.entry.Service, Address: server.entry.Address, DataCentre: server.entry.DataCentre,
			Listing: pool.listing(server), Running: view.Running, Suspect: view.Suspect, LeavingToldBy: server.leavingToldBy,
			Rests: pool.restsOf(id, now), Limit: limitStatus(server.limit, pool.publisher.Share(), now),
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
	case server.spoilt:
		return ListingSpoilt
	case !server.missingSince.IsZero():
		return ListingMissing
	case pool.isEvacuated(server):
		return ListingEvacuated
	default:
		return ListingListed
	}
}

func (server *server) coldSeconds(now time.Time) float64 {
	if server.cold == nil {
		return 0
	}
	return max(0, server.cold.until.Sub(now).Seconds())
}

func (pool *Pool) restsOf(id string, now time.Time) []RestStatus {
	var list []RestStatus
	for vm := range pool.rests {
		if until, rests := pool.rests.Over(vm, id, now); rests {
			list = append(list, RestStatus{VM: vm, Seconds: until.Sub(now).Seconds()})
		}
	}
	slices.SortFunc(list, func(a, b RestStatus) int { return cmp.Compare(a.VM, b.VM) })
	return list
}

func limitStatus(limit backpressure.Limit, share float64, now time.Time) *LimitStatus {
	statement, known := limit.Statement()
	if !known || !limit.Holds(now) {
		return nil
	}
	return &LimitStatus{
		PerSecond: statement.PerSecond, Lifted: !statement.Named, SaidSeconds: now.Sub(statement.At).Seconds(),
		Available: limit.Available(share, now),
	}
}
