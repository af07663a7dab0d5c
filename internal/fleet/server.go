package fleet

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/ejection"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// server is the state of one VM in the VM list. It is guarded by Fleet.mu.
type server struct {
	listed   *wire.Server
	longRank int
	// load is the last reported load, or nil.
	load *wire.Load
	// others is the pending prefill of other entry processes: the reported tokens, less
	// those pending for this entry process when the report arrived.
	others pendingPrefill
	// own is the pending prefill of this entry process.
	own pendingPrefill
	// prefillRate is the measured number of prompt tokens prefilled per second, or zero.
	prefillRate float64
	// unreported has the requests sent within the report lag, oldest first.
	unreported []unreported
	// outstanding is the number of this entry process's requests in flight.
	outstanding int
	ejection    ejection.State
	// drainingUntil is until when the server is treated as draining because it reported
	// that it drains.
	drainingUntil time.Time
}

// pendingPrefill is the number of prompt tokens that are not yet prefilled, of short
// and of long prompts.
type pendingPrefill struct {
	short int
	long  int
}

// unreported is the memory, in tokens, of a request sent so recently that load reports
// may not include it.
type unreported struct {
	at     time.Time
	memory int
}

// newOthers returns the pending prefill of other entry processes.
func newOthers(load *wire.Load, own pendingPrefill) pendingPrefill {
	long := int(load.GetQueuedLongTokens())            //nolint:gosec // bounded by any machine's memory
	short := int(load.GetQueuedPrefillTokens()) - long //nolint:gosec // as above
	return pendingPrefill{
		short: max(0, short-own.short),
		long:  max(0, long-own.long),
	}
}

// snapshot returns the server's state at now, and drops the sent requests that are
// older than lag.
func (server *server) snapshot(now time.Time, lag time.Duration) routing.Server {
	listed := server.listed
	memory := int(listed.GetMemoryTokens()) //nolint:gosec // bounded by any machine's memory
	snapshot := routing.Server{
		ID:          listed.GetId(),
		Address:     listed.GetAddress(),
		DataCentre:  listed.GetDataCentre(),
		Models:      listed.GetModels(),
		Memory:      memory,
		Free:        memory,
		QueuedShort: server.own.short + server.others.short,
		QueuedLong:  server.own.long + server.others.long,
		LongRank:    server.longRank,
		PrefillRate: server.prefillRate,
		Outstanding: server.outstanding,
		Draining:    listed.GetLeaving() || now.Before(server.drainingUntil),
		Ejected:     server.ejection.Ejected(now),
	}
	if load := server.load; load != nil {
		snapshot.Free = int(load.GetFreeTokens()) //nolint:gosec // as above
	}
	server.dropReported(now.Add(-lag))
	for _, unreported := range server.unreported {
		snapshot.Free -= unreported.memory
	}
	return snapshot
}

// dropReported drops the requests sent before that time, which load reports include.
func (server *server) dropReported(before time.Time) {
	first := slices.IndexFunc(server.unreported, func(unreported unreported) bool { return !unreported.at.Before(before) })
	if first < 0 {
		first = len(server.unreported)
	}
	server.unreported = server.unreported[first:]
}
