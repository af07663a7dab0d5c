package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/fleet"
	"github.com/mastwinch/mastwinch/internal/platformclient"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
	"github.com/mastwinch/mastwinch/internal/wire"
)

const (
	engineCount        = 3
	engineMemoryTokens = 100_000
	testModel          = "clerk"
	streamTimeLimit    = 20 * time.Second
	// crashingTokens is the length of the prompt that crashes every engine after crashDelay.
	crashingTokens = 777
	crashDelay     = 100 * time.Millisecond
	// reconnectDelay is how long a caller waits before it reconnects.
	reconnectDelay = 20 * time.Millisecond
)

// streamCluster is a cluster of entries and simulated engines, in virtual time.
type streamCluster struct {
	mu      sync.Mutex
	engines map[string]*engine.Engine
	// disconnectAfter is the number of frames after which connections to engines break,
	// or zero for never.
	disconnectAfter int
	// crashes lists the times at which a prompt of crashingTokens crashed an engine, and sends the times at which
	// it was sent.
	crashes []time.Time
	// crashed has the time of the last crash of an engine by its address.
	crashed map[string]time.Time
	sends   []time.Time
	entries []*Entry
	callers []*caller
	// activeCallers counts the callers without an outcome, and goroutines those of engines and entries.
	activeCallers sync.WaitGroup
	goroutines    sync.WaitGroup
	cancels       []context.CancelFunc
}

func newStreamCluster() *streamCluster {
	cluster := &streamCluster{engines: make(map[string]*engine.Engine), crashed: make(map[string]time.Time)}
	for i := range engineCount {
		cluster.startEngine(i)
	}
	for i := range nodeCount {
		cluster.entries = append(cluster.entries, nil)
		cluster.startEntry(i)
	}
	return cluster
}

func engineID(i int) string {
	return fmt.Sprintf("engine-%d", i)
}

// startEngine starts engine i without any streams; a running one is stopped.
func (cluster *streamCluster) startEngine(i int) {
	id := engineID(i)
	settings := engine.DefaultSettings()
	settings.MemoryTokens = engineMemoryTokens
	started := engine.New(id, []string{testModel}, false, settings, execution.New(), cluster.engine, nil)
	ctx, cancel := context.WithCancel(context.Background())
	cluster.mu.Lock()
	old := cluster.engines[id]
	cluster.engines[id] = started
	cluster.cancels = append(cluster.cancels, cancel)
	cluster.mu.Unlock()
	if old != nil {
		old.Close()
	}
	cluster.goroutines.Go(started.Run)
	cluster.goroutines.Go(func() { started.RunMaintenance(ctx) })
}

func (cluster *streamCluster) engine(id string) *engine.Engine {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.engines[id]
}

// startEntry starts entry i without any requests; a running one is stopped.
func (cluster *streamCluster) startEntry(i int) {
	settings := DefaultSettings()
	settings.VM = fmt.Sprintf("vm%d", i)
	state := replica.New()
	err := state.Apply(0, &wire.Batch{Records: []*wire.Record{{Body: &wire.Record_PutOrganisation{
		PutOrganisation: &wire.PutOrganisation{
			Organisation: &wire.Organisation{Name: testOrganisation, Weight: 1, MaxConcurrent: 100},
		},
	}}}})
	if err != nil {
		panic(err)
	}
	servers := fleet.New(settings.Fleet, time.Now)
	fleetList := &wire.Fleet{}
	for i := range engineCount {
		fleetList.Servers = append(fleetList.Servers, &wire.Server{
			Id: engineID(i), Address: engineID(i), Kind: platformclient.KindEngine,
			Models: []string{testModel}, MemoryTokens: engineMemoryTokens,
		})
	}
	servers.SetFleet(fleetList)
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	if old := cluster.entries[i]; old != nil {
		old.cancelBase()
	}
	started := NewWith(settings, &streamBackends{cluster: cluster}, state, servers, nil, slog.New(slog.DiscardHandler))
	cluster.entries[i] = started
	cluster.goroutines.Go(func() { started.quarantine.Run(started.baseContext, true) })
}

func (cluster *streamCluster) entry(i int) *Entry {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.entries[i%nodeCount]
}

// caller reads one response, and resumes it at the next entry after each connection
// loss.
type caller struct {
	// digest is the hash of the prompt, from which the expected tokens follow.
	digest uint64
	// tokens is the expected number of tokens.
	tokens  int
	texts   []string
	outcome Status
	// lost reports that an entry did not find the request.
	lost    bool
	elapsed time.Duration
}

// promptOf returns a prompt with the given number of tokens.
func promptOf(tokens int) string {
	return strings.Repeat("abc ", tokens)
}

// submit starts a caller. Its connection breaks each time after disconnectEvery tokens, or
// never if that is zero.
func (cluster *streamCluster) submit(node, promptTokens, maxTokens, disconnectEvery int) {
	prompt := promptOf(promptTokens)
	caller := &caller{digest: xxhash.Sum64String(prompt), tokens: maxTokens}
	cluster.callers = append(cluster.callers, caller)
	repeatable := true
	body, err := json.Marshal(request.Submission{
		Model: testModel, Prompt: prompt, MaxTokens: maxTokens, TimeMS: streamTimeLimit.Milliseconds(), Repeatable: &repeatable,
	})
	if err != nil {
		panic(err)
	}
	cluster.activeCallers.Go(func() {
		started := time.Now()
		cluster.read(caller, node, body, disconnectEvery)
		caller.elapsed = time.Since(started)
	})
}

func (cluster *streamCluster) read(caller *caller, node int, body []byte, disconnectEvery int) {
	id, last := "", ""
	for ; caller.outcome.Outcome == "" && !caller.lost; node++ {
		httpRequest := httptest.NewRequest(http.MethodPost, "/v1/requests", bytes.NewReader(body))
		if id != "" {
			httpRequest = httptest.NewRequest(http.MethodGet, "/v1/requests/"+id+"/stream", http.NoBody)
			httpRequest.Header.Set(headerEventID, last)
		}
		httpRequest.Header.Set(HeaderOrganisation, testOrganisation)
		ctx, cancel := context.WithCancel(context.Background())
		writer := &breakingWriter{header: make(http.Header), disconnectAfter: disconnectEvery, cancel: cancel}
		entry := cluster.entry(node)
		entry.Handler().ServeHTTP(writer, httpRequest.WithContext(ctx))
		cancel()
		time.Sleep(reconnectDelay)
		if entry.baseContext.Err() != nil {
			// The entry was stopped and its connections broke: what it wrote after
			// that did not arrive.
			writer.keepOnlyTokens()
		}
		if writer.header.Get(HeaderRequestID) != "" && writer.code != http.StatusServiceUnavailable {
			id = writer.header.Get(HeaderRequestID)
		}
		last = caller.recordEvents(writer, last)
		if len(caller.texts) == 0 {
			last = ""
		}
	}
}

// keepOnlyTokens drops everything that was written except token events.
func (breakingwriter *breakingWriter) keepOnlyTokens() {
	body := breakingwriter.body.String()
	outcomeIndex := strings.LastIndex(body, "event: "+EventOutcome)
	if outcomeIndex >= 0 {
		breakingwriter.body.Truncate(outcomeIndex)
	}
	if !strings.HasPrefix(breakingwriter.header.Get("Content-Type"), "text/event-stream") {
		breakingwriter.body.Reset()
		breakingwriter.code = 0
	}
}

// recordEvents adds the events in writer to those that the caller received, and returns the
// ID of the last token event, or last if there is none.
func (caller *caller) recordEvents(writer *breakingWriter, last string) string {
	if !strings.HasPrefix(writer.header.Get("Content-Type"), "text/event-stream") {
		_ = json.Unmarshal(writer.body.Bytes(), &caller.outcome)
		caller.lost = writer.code == http.StatusGone
		return last
	}
	for event := range strings.SplitSeq(writer.body.String(), "\n\n") {
		lines := strings.Split(event, "\n")
		switch {
		case len(lines) == 3 && lines[1] == "event: "+EventToken:
			var token TokenEvent
			_ = json.Unmarshal([]byte(strings.TrimPrefix(lines[2], "data: ")), &token)
			caller.texts = append(caller.texts, token.Text)
			last = strings.TrimPrefix(lines[0], "id: ")
		case len(lines) == 2 && lines[0] == "event: "+EventOutcome:
			_ = json.Unmarshal([]byte(strings.TrimPrefix(lines[1], "data: ")), &caller.outcome)
		}
	}
	return last
}

// check returns the first violated guarantee of the response, or nil.
func (caller *caller) check() error {
	for seq, text := range caller.texts {
		if text != engine.TokenText(caller.digest, seq) {
			return errors.Newf("token %d is %q", seq, text)
		}
	}
	outcome := caller.outcome
	switch {
	case outcome.Outcome == request.KindCompleted && len(caller.texts) != caller.tokens:
		return errors.Newf("completed with %d tokens of %d", len(caller.texts), caller.tokens)
	case outcome.Outcome == request.KindFailedNotRun && len(caller.texts) > 0:
		return errors.Newf("%d tokens of a request reported as not run", len(caller.texts))
	case outcome.Outcome == "":
		return errors.Newf("no outcome after %d tokens", len(caller.texts))
	case caller.elapsed > streamTimeLimit+time.Second:
		return errors.Newf("took %s with a time limit of %s", caller.elapsed, streamTimeLimit)
	}
	return nil
}

// breakingWriter is the connection to a caller. It breaks after disconnectAfter token events, or
// never if that is zero.
type breakingWriter struct {
	header          http.Header
	code            int
	body            bytes.Buffer
	disconnectAfter int
	cancel          context.CancelFunc
}

// Header implements http.ResponseWriter.
func (breakingwriter *breakingWriter) Header() http.Header { return breakingwriter.header }

// WriteHeader implements http.ResponseWriter.
func (breakingwriter *breakingWriter) WriteHeader(code int) { breakingwriter.code = code }

// Write implements http.ResponseWriter.
func (breakingwriter *breakingWriter) Write(data []byte) (int, error) {
	if breakingwriter.disconnectAfter > 0 && strings.Count(breakingwriter.body.String(), "event: "+EventToken) >= breakingwriter.disconnectAfter {
		breakingwriter.cancel()
		return 0, errors.New("connection broken")
	}
	return breakingwriter.body.Write(data)
}

// Flush implements http.Flusher.
func (breakingwriter *breakingWriter) Flush() {}

// streamBackends calls the engines of a stream cluster without a network.
type streamBackends struct {
	node    // implements the methods of Backends that streams do not use
	cluster *streamCluster
}

// Generate implements backend.Engine.
func (streambackends *streamBackends) Generate(
	ctx context.Context, address string, dispatch backend.Dispatch,
) (backend.Stream, error) {
	if len(dispatch.Body) == len(promptOf(crashingTokens)) {
		return nil, streambackends.cluster.crashEngine(address)
	}
	target := streambackends.cluster.engine(address)
	err := target.Submit(engine.Submission{
		Attempt: dispatch.Attempt, Request: dispatch.Request, Organisation: dispatch.Organisation, Owner: dispatch.Owner,
		Model: dispatch.Model, Group: dispatch.Group, Prompt: dispatch.Body, Priority: dispatch.Priority,
		From: dispatch.From, MaxTokens: dispatch.MaxTokens, TimeLeft: dispatch.TimeLeft,
	})
	if err != nil {
		return nil, &backend.NotRunError{Address: address, Reason: err.Error()}
	}
	return streambackends.open(ctx, target, dispatch.Attempt, dispatch.From)
}

// crashEngine restarts an engine after crashDelay, which ends all of its streams, and
// returns the error of the broken connection.
func (cluster *streamCluster) crashEngine(address string) error {
	cluster.mu.Lock()
	cluster.sends = append(cluster.sends, time.Now())
	cluster.mu.Unlock()
	time.Sleep(crashDelay)
	for i := range engineCount {
		if engineID(i) == address {
			cluster.startEngine(i)
		}
	}
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.crashes = append(cluster.crashes, time.Now())
	cluster.crashed[address] = time.Now()
	return errors.New("connection reset")
}

// HasEnded implements Backends. An engine that crashed counts as ended for crashDelay.
func (streambackends *streamBackends) HasEnded(_ context.Context, address string) bool {
	streambackends.cluster.mu.Lock()
	defer streambackends.cluster.mu.Unlock()
	crashed, found := streambackends.cluster.crashed[address]
	return found && time.Since(crashed) < crashDelay
}

// Resume implements backend.Engine.
func (streambackends *streamBackends) Resume(
	ctx context.Context, address, attempt string, from int,
) (backend.Stream, error) {
	return streambackends.open(ctx, streambackends.cluster.engine(address), attempt, from)
}

func (streambackends *streamBackends) open(
	ctx context.Context, target *engine.Engine, attempt string, from int,
) (backend.Stream, error) {
	info, ok := target.Info(attempt)
	if !ok {
		return nil, &backend.NotFoundError{Attempt: attempt}
	}
	ctx, cancel := context.WithCancel(ctx)
	stream := &memoryStream{info: info, frames: make(chan backend.Frame), cancel: cancel}
	streambackends.cluster.mu.Lock()
	stream.framesLeft = streambackends.cluster.disconnectAfter
	streambackends.cluster.mu.Unlock()
	streambackends.cluster.goroutines.Go(func() {
		defer close(stream.frames)
		target.Read(ctx, attempt, from, func(frames []backend.Frame) error {
			for _, frame := range frames {
				select {
				case stream.frames <- frame:
				case <-ctx.Done():
					return errors.WithStack(ctx.Err())
				}
			}
			return nil
		})
	})
	return stream, nil
}

// Streams implements backend.Engine.
func (streambackends *streamBackends) Streams(_ context.Context, address string) ([]backend.StreamInfo, error) {
	return streambackends.cluster.engine(address).List(), nil
}

// Reserve implements backend.Engine.
func (streambackends *streamBackends) Reserve(
	_ context.Context, address, id string, reservation backend.Reservation,
) error {
	ttl := time.Duration(reservation.TTLMS) * time.Millisecond
	err := streambackends.cluster.engine(address).Reserve(id, reservation.Tokens, ttl)
	if err != nil {
		return &backend.NotRunError{Address: address, Reason: err.Error()}
	}
	return nil
}

// Release implements backend.Engine.
func (streambackends *streamBackends) Release(_ context.Context, address, id string) error {
	streambackends.cluster.engine(address).Release(id)
	return nil
}

// memoryStream is a stream without a network. It breaks after a number of frames.
type memoryStream struct {
	info   backend.StreamInfo
	frames chan backend.Frame
	cancel context.CancelFunc
	// framesLeft counts down to one, at which the connection breaks; zero means never.
	framesLeft int
}

// Next implements backend.Stream.
func (memorystream *memoryStream) Next() (backend.Frame, error) {
	if memorystream.framesLeft == 1 {
		memorystream.cancel()
		return backend.Frame{}, errors.New("connection broken")
	}
	memorystream.framesLeft = max(0, memorystream.framesLeft-1)
	frame, ok := <-memorystream.frames
	if !ok {
		return backend.Frame{}, errors.New("connection closed")
	}
	return frame, nil
}

// Organisation implements backend.Stream.
func (memorystream *memoryStream) Organisation() string { return memorystream.info.Organisation }

// Request implements backend.Stream.
func (memorystream *memoryStream) Request() string { return memorystream.info.Request }

// TimeLeft implements backend.Stream.
func (memorystream *memoryStream) TimeLeft() time.Duration {
	return time.Duration(memorystream.info.TimeLeftMS) * time.Millisecond
}

// Close implements backend.Stream.
func (memorystream *memoryStream) Close() { memorystream.cancel() }
