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
func (entry *Entry) adopt(ctx context.Context, id, organisation string, last relay.Position) (*activeRequest, error) {
	searchCtx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	location, err := entry.locateStream(searchCtx, id, last)
	if err != nil {
		return nil, err
	}
	// The stream outlives the HTTP request that located it.
	ctx, cancelCause := context.WithCancelCause(entry.baseContext)
	stream, base, err := entry.openStream(ctx, location, last)
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
) *activeRequest {
	now := entry.now()
	adopted := request.Request{
		ID:           id,
		Organisation: organisation,
		Mode:         request.ModeStream,
		Repeatable:   true,
		TimeLimit:    timeLeft,
	}
	if attempt, ok := entry.attemptOfRequest(id); ok {
		adopted.Key = attempt.Key
		adopted.Repeatable = false
	}
	return &activeRequest{
		request:  adopted,
		buffer:   relay.NewBuffer(base, now),
		deadline: now.Add(timeLeft),
		cancel:   cancel,
	}
}

// runAdopted relays an adopted stream until it ends. The request is never sent
// to another server, because its prompt was lost with the entry that admitted it.
func (entry *Entry) runAdopted(ctx context.Context, adopted *activeRequest, location streamLocation, stream backend.Stream) {
	defer adopted.cancel(nil)
	timedCtx, stop := context.WithDeadline(ctx, adopted.deadline.Add(-outcomeMargin(adopted.request.TimeLimit)))
	defer stop()
	stopClosing := context.AfterFunc(timedCtx, stream.Close)
	defer stopClosing()
	forwarder := &forwarder{activeRequest: adopted, entry: entry, dispatched: fleet.UntrackedRequest(), mayHaveRun: true}
	result := forwarder.relayStream(timedCtx, stream, location.source())
	switch result.kind {
	case resultCompleted:
		entry.recordEnd(adopted, request.Completed(result.server))
	case resultInterrupted:
		entry.recordEnd(adopted, forwarder.interruptedOutcome(timedCtx))
	default:
		entry.recordEnd(adopted, request.MayHaveRun(result.reason))
	}
}

// streamLocation is the engine and the attempt of a stream.
type streamLocation struct {
	server *wire.Server
	// attempt is the number of the attempt, and id the ID of the attempt.
	attempt int
	id      string
}

func (location streamLocation) source() source {
	return source{
		attempt: location.attempt,
		id:      location.id,
		server:  routingServer(location.server),
	}
}

// openStream opens the stream at its first token if the engine still stores that, and
// otherwise after the last token that the caller received. It returns the
// sequence number at which the stream begins.
func (entry *Entry) openStream(ctx context.Context, location streamLocation, last relay.Position) (backend.Stream, int, error) {
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

// locateStream finds the engine that holds the newest attempt of a request: the one
// named in the caller's last event, the one recorded in the log, or the result of
// a search of all engines.
func (entry *Entry) locateStream(ctx context.Context, id string, last relay.Position) (streamLocation, error) {
	engines := entry.fleet.Engines()
	if last.Seq >= 0 {
		for _, engine := range engines {
			if engine.GetId() == last.Server {
				return streamLocation{server: engine, attempt: last.Attempt, id: attemptID(id, last.Attempt)}, nil
			}
		}
	}
	if attempt, ok := entry.attemptOfRequest(id); ok && attempt.Server != "" {
		engines = engineOfAttempt(engines, attempt)
	}
	return entry.searchEngines(ctx, id, engines)
}

func engineOfAttempt(engines []*wire.Server, attempt ledger.Attempt) []*wire.Server {
	for _, engine := range engines {
		if engine.GetId() == attempt.Server {
			return []*wire.Server{engine}
		}
	}
	return nil
}

// searchEngines lists the streams of the given engines, and returns the newest attempt
// of the request. Engines that do not respond are left out. It returns
// errStreamNotFound if there is no attempt.
func (entry *Entry) searchEngines(ctx context.Context, id string, engines []*wire.Server) (streamLocation, error) {
	var mu sync.Mutex
	var searches sync.WaitGroup
	newest := streamLocation{attempt: -1}
	slots := make(chan struct{}, maxParallelSearches)
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
				if attempt, ok := parseAttemptNumber(id, info); ok && attempt > newest.attempt {
					newest = streamLocation{server: engine, attempt: attempt, id: info.Attempt}
				}
			}
		})
	}
	searches.Wait()
	if newest.server == nil {
		return streamLocation{}, errStreamNotFound
	}
	return newest, nil
}

// parseAttemptNumber returns the attempt number of a stream. It reports false if the
// stream belongs to another request.
func parseAttemptNumber(requestID string, info backend.StreamInfo) (int, bool) {
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

func routingServer(server *wire.Server) routing.Server {
	return routing.Server{ID: server.GetId(), Address: server.GetAddress()}
}
