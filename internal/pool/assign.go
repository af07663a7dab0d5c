package pool

import (
	"slices"

	"github.com/mastwinch/mastwinch/internal/placement"
)

// ReserveID returns a number for a request of this VM. The sendings of the request
// have the numbers after it.
func (pool *Pool) ReserveID() uint64 {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	first := pool.nextID
	pool.nextID += 1 + placement.MaxParts
	return first
}

// Assign notes that a request of any VM got the servers of a plan, before that VM
// tells of it. If it never does, the request is forgotten like any that is not told of.
func (pool *Pool) Assign(vm string, id uint64, plan placement.Plan, request placement.Request) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	for _, report := range reports(id, plan, request) {
		pool.add(vm, report, now)
	}
}

// Withdraw forgets a request that was assigned and is not sent.
func (pool *Pool) Withdraw(vm string, id uint64) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	withdrawn := false
	for _, server := range pool.servers {
		server.sendings = slices.DeleteFunc(server.sendings, func(sending *sending) bool {
			ours := sending.vm == vm && sending.ID > id && sending.ID <= id+placement.MaxParts
			if ours {
				withdrawn = true
				server.takesBack()
			}
			return ours
		})
	}
	if withdrawn {
		pool.wake()
	}
}
