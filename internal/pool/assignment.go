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

// InPrefill reports whether a request of a VM is at a server and may be without an event of its response
// so far.
func (pool *Pool) InPrefill(vm string, id uint64) bool {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	for _, server := range pool.servers {
		if slices.ContainsFunc(server.attempts, func(attempt *attempt) bool {
			return attempt.isOf(vm, id) && attempt.Phase == PhasePrefill && !attempt.PrefillOnly
		}) {
			return true
		}
	}
	return false
}

// isOf reports whether the attempt belongs to a request of a VM.
func (attempt *attempt) isOf(vm string, id uint64) bool {
	return attempt.vm == vm && attempt.ID > id && attempt.ID <= id+placement.MaxParts
}

// Withdraw removes the attempts of a request that was assigned but will not be sent, and refunds
// them to the rate limits of their servers.
func (pool *Pool) Withdraw(vm string, id uint64) {
	pool.mu.Lock()
	defer pool.mu.Unlock()
	withdrawn := false
	for _, server := range pool.servers {
		server.attempts = slices.DeleteFunc(server.attempts, func(attempt *attempt) bool {
			matches := attempt.isOf(vm, id)
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
