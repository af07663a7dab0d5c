package coordinator_test

import (
	"context"
	"sync"

	"github.com/mastwinch/mastwinch/internal/exchange"
)

// fleetRegistry implements exchange.Registry in memory.
type fleetRegistry struct {
	mu      sync.Mutex
	members map[string]exchange.Member
}

var _ exchange.Registry = (*fleetRegistry)(nil)

func (fleetregistry *fleetRegistry) Register(_ context.Context, member exchange.Member) error {
	fleetregistry.mu.Lock()
	defer fleetregistry.mu.Unlock()
	fleetregistry.members[member.VM] = member
	return nil
}

func (fleetregistry *fleetRegistry) List(context.Context) ([]exchange.Member, error) {
	fleetregistry.mu.Lock()
	defer fleetregistry.mu.Unlock()
	list := make([]exchange.Member, 0, len(fleetregistry.members))
	for _, member := range fleetregistry.members {
		list = append(list, member)
	}
	return list, nil
}
