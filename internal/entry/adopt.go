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

// adopt takes over the stream of a request whose entry is gone.
func (entry *Entry) adopt(ctx context.Context, id, organisation string, last relay.Position) (*active, error) {
	searching, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	located, err := entry.locate(searching, id, last)
	if err != nil {
		return nil, err
	}
	// The stream outlives the call that found it.
	ctx, cancelCause := context.WithCancelCause(entry.life)
	stream, base, err := entry.open(ctx, located, last)
	if err != nil {
		cancelCause(nil)
		return nil, err
	}
	if stream.Organisation() != organisation || stream.Request() != id {
		stream.Close()
		cancelCause(nil)
		return nil, errors.Newf("request %s: the stream is another's", id)
	}
	adopted := entry.newAdopted(id, organisation, base, stream.TimeLeft(), cancelCause)
	holder, added := entry.registry.addOnce(adopted)
	if !added {
		stream.Close()
		cancelCause(nil)
		return holder, nil
	}
	entry.metrics.adopted.Inc()
	entry.logger.Info("adopted", "request_id", id, "organisation", organisation, "server", located.server.GetId(),
		"attempt", located.attempt, "from", base)
	entry.background.Go(func() { entry.runAdopted(ctx, adopted, located, stream) })
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

// runAdopted relays an adopted stream. It is never sent to another server,
// since its prompt went with the entry that admitted it.
func (entry *Entry) runAdopted(ctx context.Context, adopted *active, located located, stream backend.Stream) {
	defer adopted.cancel(nil)
	timed, stop := context.WithDeadline(ctx, adopted.deadline.Add(-margin(adopted.request.Time)))
	defer stop()
	closeStream := context.AfterFunc(timed, stream.Close)
	defer closeStream()
	run := &run{active: adopted, entry: entry, sending: fleet.NoSending(), mayHaveRun: true}
	result := run.relay(timed, stream, located.source())
	switch result.kind {
	case resultCompleted:
		entry.settle(adopted, request.Completed(result.server))
	case resultInterrupted:
		entry.settle(adopted, run.interrupted(timed))
	default:
		entry.settle(adopted, request.MayHaveRun(result.reason))
	}
}

// located is where a stream was found.
type located struct {
	server  *wire.Server
	attempt int
	id      string
}

func (located located) source() source {
	return source{
		attempt: located.attempt,
		id:      located.id,
		server:  snapshotServer(located.server),
	}
}

// open reads the stream from its start if the engine still has that, and
// otherwise from after the last token that the caller saw.
func (entry *Entry) open(ctx context.Context, located located, last relay.Position) (backend.Stream, int, error) {
	stream, err := entry.backends.Resume(ctx, located.server.GetAddress(), located.id, 0)
	if err == nil {
		return stream, 0, nil
	}
	base := last.Seq + 1
	if base == 0 {
		return nil, 0, err
	}
	stream, err = entry.backends.Resume(ctx, located.server.GetAddress(), located.id, base)
	return stream, base, err
}

// locate finds the engine that holds the newest attempt of a request: by the
// caller's last event, by the log, or by asking all engines.
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

// search asks engines what they hold.
func (entry *Entry) search(ctx context.Context, id string, engines []*wire.Server) (located, error) {
	var mu sync.Mutex
	var all sync.WaitGroup
	best := located{attempt: -1}
	slots := make(chan struct{}, searchParallel)
	for _, engine := range engines {
		slots <- struct{}{}
		all.Go(func() {
			defer func() { <-slots }()
			infos, err := entry.backends.Streams(ctx, engine.GetAddress())
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			for _, info := range infos {
				if attempt, ok := attemptOfStream(id, info); ok && attempt > best.attempt {
					best = located{server: engine, attempt: attempt, id: info.Attempt}
				}
			}
		})
	}
	all.Wait()
	if best.server == nil {
		return located{}, errLost
	}
	return best, nil
}

// attemptOfStream returns which dispatch of the request a stream is.
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
