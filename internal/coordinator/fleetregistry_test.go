package coordinator_test

import (
	"context"
	"sync"

	"github.com/mastwinch/mastwinch/internal/exchange"
)

// fleetRegister implements exchange.Registry in memory.
type fleetRegister struct {
	mu      sync.Mutex
	members map[string]exchange.Member
}

var _ exchange.Registry = (*fleetRegister)(nil)

func (fleetregister *fleetRegister) Register(_ context.Context, member exchange.Member) error {
	fleetregister.mu.Lock()
	defer fleetregister.mu.Unlock()
	fleetregister.members[member.VM] = member
	return nil
}

func (fleetregister *fleetRegister) List(context.Context) ([]exchange.Member, error) {
	fleetregister.mu.Lock()
	defer fleetregister.mu.Unlock()
	list := make([]exchange.Member, 0, len(fleetregister.members))
	for _, member := range fleetregister.members {
		list = append(list, member)
	}
	return list, nil
}
