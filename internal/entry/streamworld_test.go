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
	"github.com/mastwinch/mastwinch/internal/infra"
	"github.com/mastwinch/mastwinch/internal/replica"
	"github.com/mastwinch/mastwinch/internal/request"
	"github.com/mastwinch/mastwinch/internal/standin/engine"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
	"github.com/mastwinch/mastwinch/internal/wire"
)

const (
	engineCount = 3
	testMemory  = 100_000
	testModel   = "clerk"
	streamTime  = 20 * time.Second
	// crashingTokens is the length of the prompt under which each engine crashes after crashTime.
	crashingTokens = 777
	crashTime      = 100 * time.Millisecond
	callerPause    = 20 * time.Millisecond
)

// streamWorld is entries before stand-in engines, in virtual time.
type streamWorld struct {
	mu      sync.Mutex
	engines map[string]*engine.Engine
	// cutAfter is after how many frames connections to engines break, or
	// zero for never.
	cutAfter int
	// crashes has when engines crashed under a prompt of crashingTokens, and sends when it was sent.
	crashes []time.Time
	sends   []time.Time
	entries []*Entry
	callers []*caller
	calling sync.WaitGroup
	running sync.WaitGroup
	ends    []context.CancelFunc
}

func newStreamWorld() *streamWorld {
	world := &streamWorld{engines: make(map[string]*engine.Engine)}
	for i := range engineCount {
		world.startEngine(i)
	}
	for i := range nodeCount {
		world.entries = append(world.entries, nil)
		world.startEntry(i)
	}
	return world
}

func engineID(i int) string {
	return fmt.Sprintf("engine-%d", i)
}

// startEngine replaces engine i by an empty one.
func (world *streamWorld) startEngine(i int) {
	id := engineID(i)
	settings := engine.DefaultSettings()
	settings.MemoryTokens = testMemory
	made := engine.New(id, []string{testModel}, false, settings, execution.New(), world.engine, nil)
	ctx, cancel := context.WithCancel(context.Background())
	world.mu.Lock()
	old := world.engines[id]
	world.engines[id] = made
	world.ends = append(world.ends, cancel)
	world.mu.Unlock()
	if old != nil {
		old.Close()
	}
	world.running.Go(made.Run)
	world.running.Go(func() { made.Housekeep(ctx) })
}

func (world *streamWorld) engine(id string) *engine.Engine {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.engines[id]
}

// startEntry replaces entry i, which dies with all that it knows.
func (world *streamWorld) startEntry(i int) {
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
	listed := &wire.Fleet{}
	for i := range engineCount {
		listed.Servers = append(listed.Servers, &wire.Server{
			Id: engineID(i), Address: engineID(i), Kind: infra.KindEngine,
			Models: []string{testModel}, MemoryTokens: testMemory,
		})
	}
	servers.SetFleet(listed)
	world.mu.Lock()
	defer world.mu.Unlock()
	if old := world.entries[i]; old != nil {
		old.end()
	}
	started := NewWith(settings, &streamBackends{world: world}, state, servers, nil, slog.New(slog.DiscardHandler))
	world.entries[i] = started
	world.running.Go(func() { started.quarantine.Run(started.life, true) })
}

func (world *streamWorld) entry(i int) *Entry {
	world.mu.Lock()
	defer world.mu.Unlock()
	return world.entries[i%nodeCount]
}

// caller reads one answer, going on at the next entry after each cut.
type caller struct {
	digest  uint64
	tokens  int
	texts   []string
	outcome Status
	// lost says that some entry no longer had the answer.
	lost bool
	took time.Duration
}

// promptOf returns a prompt of so many tokens.
func promptOf(tokens int) string {
	return strings.Repeat("abc ", tokens)
}

// submit starts a caller who is cut off after so many tokens each time, or
// never if that is zero.
func (world *streamWorld) submit(node, promptTokens, maxTokens, cutEvery int) {
	prompt := promptOf(promptTokens)
	caller := &caller{digest: xxhash.Sum64String(prompt), tokens: maxTokens}
	world.callers = append(world.callers, caller)
	repeatable := true
	body, err := json.Marshal(request.Submission{
		Model: testModel, Prompt: prompt, MaxTokens: maxTokens, TimeMS: streamTime.Milliseconds(), Repeatable: &repeatable,
	})
	if err != nil {
		panic(err)
	}
	world.calling.Go(func() {
		started := time.Now()
		world.read(caller, node, body, cutEvery)
		caller.took = time.Since(started)
	})
}

func (world *streamWorld) read(caller *caller, node int, body []byte, cutEvery int) {
	id, last := "", ""
	for ; caller.outcome.Outcome == "" && !caller.lost; node++ {
		asked := httptest.NewRequest(http.MethodPost, "/v1/requests", bytes.NewReader(body))
		if id != "" {
			asked = httptest.NewRequest(http.MethodGet, "/v1/requests/"+id+"/stream", http.NoBody)
			asked.Header.Set(headerEventID, last)
		}
		asked.Header.Set(HeaderOrganisation, testOrganisation)
		ctx, cancel := context.WithCancel(context.Background())
		writer := &cutWriter{header: make(http.Header), cutAfter: cutEvery, cut: cancel}
		entry := world.entry(node)
		entry.Handler().ServeHTTP(writer, asked.WithContext(ctx))
		cancel()
		time.Sleep(callerPause)
		if entry.life.Err() != nil {
			// The entry died, and with it the connection: what it said after
			// that never arrived.
			writer.dropAfterTokens()
		}
		if writer.header.Get(HeaderRequestID) != "" && writer.code != http.StatusServiceUnavailable {
			id = writer.header.Get(HeaderRequestID)
		}
		last = caller.take(writer, last)
		if len(caller.texts) == 0 {
			last = ""
		}
	}
}

// dropAfterTokens drops all but the tokens.
func (cutwriter *cutWriter) dropAfterTokens() {
	body := cutwriter.body.String()
	last := strings.LastIndex(body, "event: "+EventOutcome)
	if last >= 0 {
		cutwriter.body.Truncate(last)
	}
	if !strings.HasPrefix(cutwriter.header.Get("Content-Type"), "text/event-stream") {
		cutwriter.body.Reset()
		cutwriter.code = 0
	}
}

// take adds what was written to what the caller has, and returns the last
// event's ID.
func (caller *caller) take(writer *cutWriter, last string) string {
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

// check returns what is wrong with the answer.
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
		return errors.Newf("%d tokens of what was not run", len(caller.texts))
	case outcome.Outcome == "":
		return errors.Newf("no outcome after %d tokens", len(caller.texts))
	case caller.took > streamTime+time.Second:
		return errors.Newf("took %s of %s", caller.took, streamTime)
	}
	return nil
}

// cutWriter is a connection that breaks after some events.
type cutWriter struct {
	header   http.Header
	code     int
	body     bytes.Buffer
	cutAfter int
	cut      context.CancelFunc
}

// Header implements http.ResponseWriter.
func (cutwriter *cutWriter) Header() http.Header { return cutwriter.header }

// WriteHeader implements http.ResponseWriter.
func (cutwriter *cutWriter) WriteHeader(code int) { cutwriter.code = code }

// Write implements http.ResponseWriter.
func (cutwriter *cutWriter) Write(data []byte) (int, error) {
	if cutwriter.cutAfter > 0 && strings.Count(cutwriter.body.String(), "event: "+EventToken) >= cutwriter.cutAfter {
		cutwriter.cut()
		return 0, errors.New("connection cut")
	}
	return cutwriter.body.Write(data)
}

// Flush implements http.Flusher.
func (cutwriter *cutWriter) Flush() {}

// streamBackends reaches the engines of the world without a network.
type streamBackends struct {
	node  // for what is not used here
	world *streamWorld
}

// Generate implements backend.Engine.
func (streambackends *streamBackends) Generate(
	ctx context.Context, address string, dispatch backend.Dispatch,
) (backend.Stream, error) {
	if len(dispatch.Body) == len(promptOf(crashingTokens)) {
		return nil, streambackends.world.crash(address)
	}
	one := streambackends.world.engine(address)
	err := one.Submit(engine.Submission{
		Attempt: dispatch.Attempt, Request: dispatch.Request, Organisation: dispatch.Organisation, Owner: dispatch.Owner,
		Model: dispatch.Model, Group: dispatch.Group, Prompt: dispatch.Body, Priority: dispatch.Priority,
		From: dispatch.From, MaxTokens: dispatch.MaxTokens, TimeLeft: dispatch.TimeLeft,
	})
	if err != nil {
		return nil, &backend.NotRunError{Address: address, Reason: err.Error()}
	}
	return streambackends.open(ctx, one, dispatch.Attempt, dispatch.From)
}

// crash lets an engine crash, with all that it has.
func (world *streamWorld) crash(address string) error {
	world.mu.Lock()
	world.sends = append(world.sends, time.Now())
	world.mu.Unlock()
	time.Sleep(crashTime)
	for i := range engineCount {
		if engineID(i) == address {
			world.startEngine(i)
		}
	}
	world.mu.Lock()
	defer world.mu.Unlock()
	world.crashes = append(world.crashes, time.Now())
	return errors.New("connection reset")
}

// Resume implements backend.Engine.
func (streambackends *streamBackends) Resume(
	ctx context.Context, address, attempt string, from int,
) (backend.Stream, error) {
	return streambackends.open(ctx, streambackends.world.engine(address), attempt, from)
}

func (streambackends *streamBackends) open(
	ctx context.Context, one *engine.Engine, attempt string, from int,
) (backend.Stream, error) {
	info, ok := one.Info(attempt)
	if !ok {
		return nil, &backend.NotFoundError{Attempt: attempt}
	}
	ctx, cancel := context.WithCancel(ctx)
	stream := &memoryStream{info: info, frames: make(chan backend.Frame), cancel: cancel}
	streambackends.world.mu.Lock()
	stream.left = streambackends.world.cutAfter
	streambackends.world.mu.Unlock()
	streambackends.world.running.Go(func() {
		defer close(stream.frames)
		one.Read(ctx, attempt, from, func(frames []backend.Frame) error {
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
	return streambackends.world.engine(address).List(), nil
}

// Reserve implements backend.Engine.
func (streambackends *streamBackends) Reserve(
	_ context.Context, address, id string, reservation backend.Reservation,
) error {
	ttl := time.Duration(reservation.TTLMS) * time.Millisecond
	err := streambackends.world.engine(address).Reserve(id, reservation.Tokens, ttl)
	if err != nil {
		return &backend.NotRunError{Address: address, Reason: err.Error()}
	}
	return nil
}

// Release implements backend.Engine.
func (streambackends *streamBackends) Release(_ context.Context, address, id string) error {
	streambackends.world.engine(address).Release(id)
	return nil
}

// memoryStream is a stream in memory that breaks after some frames.
type memoryStream struct {
	info   backend.StreamInfo
	frames chan backend.Frame
	cancel context.CancelFunc
	// left is how many frames come before the cut; zero for no cut.
	left int
}

// Next implements backend.Stream.
func (memorystream *memoryStream) Next() (backend.Frame, error) {
	if memorystream.left == 1 {
		memorystream.cancel()
		return backend.Frame{}, errors.New("connection cut")
	}
	memorystream.left = max(0, memorystream.left-1)
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
