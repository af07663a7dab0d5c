package entry

import (
	"context"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/ledger"
	"github.com/mastwinch/mastwinch/internal/relay"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/routing"
	"github.com/mastwinch/mastwinch/internal/wire"
)

// adopt takes over the stream of a request after the entry that admitted it was
// lost. last is the last position that the caller received; its Seq is -1 for
// none. The returned request may have been adopted by an earlier call.
func (entry *Entry) adopt(ctx context.Context, id, organisation string, last relay.Position) (*active, error) {
	searchCtx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	location, err := entry.locate(searchCtx, id, last)
	if err != nil {
		return nil, err
	}
	// The stream outlives the HTTP request that located it.
	ctx, cancelCause := context.WithCancelCause(entry.life)
	stream, base, err := entry.open(ctx, location, last)
	if err != nil {
		cancelCause(nil)
		return nil, err
	}
	if stream.Organisation() != organisation || stream.Request() != id {
		stream.Close()
		cancelCause(nil)
		return nil, errors.Newf("request %s: stream belongs to another request or organisation", id)
	}
	adopted := entry.newAdopted(id, organisation, base, stream.TimeLeft(), cancelCause)
	registered, added := entry.registry.addOnce(adopted)
	if !added {
		stream.Close()
		cancelCause(nil)
		return registered, nil
	}
	entry.metrics.adopted.Inc()
	entry.logger.Info("took over the stream of a lost entry", "request_id", id, "organisation", organisation, "server", location.server.GetId(),
		"attempt", location.attempt, "from", base)
	entry.background.Go(func() { entry.runAdopted(ctx, adopted, location, stream) })
	return adopted, nil
}

func (entry *Entry) newAdopted(
	id, organisation string, base int, timeLeft time.Duration, cancel context.CancelCauseFunc,
) *active {
	now := entry.now()
	adopted := request.Request{
		ID:           id,
		Organisation: organisation,
		Mode:         request.ModeStream,
		Repeatable:   true,
		Time:         timeLeft,
	}
	if attempt, ok := entry.attemptOf(id); ok {
		adopted.Key = attempt.Key
		adopted.Repeatable = false
	}
	return &active{
		request:  adopted,
		buffer:   relay.NewBuffer(base, now),
		deadline: now.Add(timeLeft),
		cancel:   cancel,
	}
}

// runAdopted relays an adopted stream until it ends. The request is never sent
// to another server, because its prompt was lost with the entry that admitted it.
func (entry *Entry) runAdopted(ctx context.Context, adopted *active, location located, stream backend.Stream) {
	defer adopted.cancel(nil)
	timedCtx, stop := context.WithDeadline(ctx, adopted.deadline.Add(-margin(adopted.request.Time)))
	defer stop()
	stopClosing := context.AfterFunc(timedCtx, stream.Close)
	defer stopClosing()
	forwarder := &run{active: adopted, entry: entry, sending: fleet.UntrackedRequest(), mayHaveRun: true}
	result := forwarder.relay(timedCtx, stream, location.source())
	switch result.kind {
	case resultCompleted:
		entry.settle(adopted, request.Completed(result.server))
	case resultInterrupted:
		entry.settle(adopted, forwarder.interrupted(timedCtx))
	default:
		entry.settle(adopted, request.MayHaveRun(result.reason))
	}
}

// located is the engine and the attempt of a stream.
type located struct {
	server *wire.Server
	// attempt is the number of the attempt, and id the ID of the attempt.
	attempt int
	id      string
}

func (location located) source() source {
	return source{
		attempt: location.attempt,
		id:      location.id,
		server:  snapshotServer(location.server),
	}
}

// open opens the stream at its first token if the engine still stores that, and
// otherwise after the last token that the caller received. It returns the
// sequence number at which the stream begins.
func (entry *Entry) open(ctx context.Context, location located, last relay.Position) (backend.Stream, int, error) {
	stream, err := entry.backends.Resume(ctx, location.server.GetAddress(), location.id, 0)
	if err == nil {
		return stream, 0, nil
	}
	base := last.Seq + 1
	if base == 0 {
		return nil, 0, err
	}
	stream, err = entry.backends.Resume(ctx, location.server.GetAddress(), location.id, base)
	return stream, base, err
}

// locate finds the engine that holds the newest attempt of a request: the one
// named in the caller's last event, the one recorded in the log, or the result of
// a search of all engines.
func (entry *Entry) locate(ctx context.Context, id string, last relay.Position) (located, error) {
	engines := entry.fleet.Engines()
	if last.Seq >= 0 {
		for _, engine := range engines {
			if engine.GetId() == last.Server {
				return located{server: engine, attempt: last.Attempt, id: attemptID(id, last.Attempt)}, nil
			}
		}
	}
	if attempt, ok := entry.attemptOf(id); ok && attempt.Server != "" {
		engines = onlyServer(engines, attempt)
	}
	return entry.search(ctx, id, engines)
}

func onlyServer(engines []*wire.Server, attempt ledger.Attempt) []*wire.Server {
	for _, engine := range engines {
		if engine.GetId() == attempt.Server {
			return []*wire.Server{engine}
		}
	}
	return nil
}

// search lists the streams of the given engines, and returns the newest attempt
// of the request. Engines that do not respond are left out. It returns
// errStreamNotFound if there is no attempt.
func (entry *Entry) search(ctx context.Context, id string, engines []*wire.Server) (located, error) {
	var mu sync.Mutex
	var searches sync.WaitGroup
	newest := located{attempt: -1}
	slots := make(chan struct{}, searchParallel)
	for _, engine := range engines {
		slots <- struct{}{}
		searches.Go(func() {
			defer func() { <-slots }()
			infos, err := entry.backends.Streams(ctx, engine.GetAddress())
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, info := range infos {
				if attempt, ok := attemptOfStream(id, info); ok && attempt > newest.attempt {
					newest = located{server: engine, attempt: attempt, id: info.Attempt}
				}
			}
		})
	}
	searches.Wait()
	if newest.server == nil {
		return located{}, errLost
	}
	return newest, nil
}

// attemptOfStream returns the attempt number of a stream. It reports false if the
// stream belongs to another request.
func attemptOfStream(requestID string, info backend.StreamInfo) (int, bool) {
	if info.Request != requestID {
		return 0, false
	}
	number, found := strings.CutPrefix(info.Attempt, requestID+"~")
	if !found {
		return 0, false
	}
	attempt, err := strconv.Atoi(number)
	return attempt, err == nil
}

func snapshotServer(server *wire.Server) routing.Server {
	return routing.Server{ID: server.GetId(), Address: server.GetAddress()}
}
