package fleet

import (
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/ejection"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// server is what the fleet knows of one listed VM.
type server struct {
	listed   *wire.Server
	longRank int
	load     *wire.Load
	// others is the prompts that other entries wait for there: what was
	// reported, less what this entry waited for then.
	others pending
	// own is the prompts that this entry waits for there.
	own pending
	// rate is the prompt tokens computed in a second, as seen from answers.
	rate float64
	// sent has what was sent within the report lag, oldest first.
	sent         []sent
	outstanding  int
	ejection     ejection.State
	leavingUntil time.Time
}

// pending is prompt tokens that are not yet computed.
type pending struct {
	short int
	long  int
}

// sent is memory that a request takes which reports do not show yet.
type sent struct {
	at     time.Time
	memory int
}

func newOthers(load *wire.Load, own pending) pending {
	long := int(load.GetQueuedLongTokens())            //nolint:gosec // bounded by any machine's memory
	short := int(load.GetQueuedPrefillTokens()) - long //nolint:gosec // as above
	return pending{
		short: max(0, short-own.short),
		long:  max(0, long-own.long),
	}
}

func (server *server) view(now time.Time, lag time.Duration) routing.Server {
	listed := server.listed
	memory := int(listed.GetMemoryTokens()) //nolint:gosec // bounded by any machine's memory
	view := routing.Server{
		ID:          listed.GetId(),
		Address:     listed.GetAddress(),
		DataCentre:  listed.GetDataCentre(),
		Models:      listed.GetModels(),
		Memory:      memory,
		Free:        memory,
		QueuedShort: server.own.short + server.others.short,
		QueuedLong:  server.own.long + server.others.long,
		LongRank:    server.longRank,
		PrefillRate: server.rate,
		Outstanding: server.outstanding,
		Leaving:     listed.GetLeaving() || now.Before(server.leavingUntil),
		Ejected:     server.ejection.Ejected(now),
	}
	if load := server.load; load != nil {
		view.Free = int(load.GetFreeTokens()) //nolint:gosec // as above
	}
	server.forget(now.Add(-lag))
	for _, sent := range server.sent {
		view.Free -= sent.memory
	}
	return view
}

func (server *server) forget(before time.Time) {
	keep := slices.IndexFunc(server.sent, func(sent sent) bool { return !sent.at.Before(before) })
	if keep < 0 {
		keep = len(server.sent)
	}
	server.sent = server.sent[keep:]
}
