package pool

import (
	"slices"

	"github.com/mastwinch/mastwinch/internal/placement"
)

// ReserveID returns an ID for a request of this VM. The attempts of the request use the IDs that
// follow it.
func (pool *Pool) ReserveID() uint64 {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	first := pool.nextID
	pool.nextID += 1 + placement.MaxParts
	return first
}

// Assign records that a request of the given VM was assigned the servers of a plan, before that VM
// reports it. Without a later report the attempts expire after Settings.RemoteReportTTL, like those
// of any other VM.
func (pool *Pool) Assign(vm string, id uint64, plan placement.Plan, request placement.Request) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	now := pool.now()
	for _, report := range newReports(id, plan, request) {
		pool.addAttempt(vm, report, now)
	}
}

// Withdraw removes the attempts of a request that was assigned but will not be sent, and refunds
// them to the rate limits of their servers.
func (pool *Pool) Withdraw(vm string, id uint64) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	withdrawn := false
	for _, server := range pool.servers {
		server.attempts = slices.DeleteFunc(server.attempts, func(attempt *attempt) bool {
			matches := attempt.vm == vm && attempt.ID > id && attempt.ID <= id+placement.MaxParts
			if matches {
				withdrawn = true
				server.refundLimits()
			}
			return matches
		})
	}
	if withdrawn {
		pool.notifyChanged()
	}
}
