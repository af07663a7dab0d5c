package engine

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
)

// maintenanceInterval is the interval at which an engine expires streams and
// reservations and creates a load report, even while it is idle.
const maintenanceInterval = 50 * time.Millisecond

// RefusalError reports that a request or command was refused and nothing ran.
type RefusalError struct {
	Reason string
	// Duplicate reports that a stream of the attempt exists, which goes on.
	Duplicate bool
	// Draining reports that the engine is draining, and so accepts no new requests.
	Draining bool
}

// Error returns the reason.
func (refusalerror *RefusalError) Error() string {
	return refusalerror.Reason
}

// Submit starts a stream, or returns a *RefusalError.
func (engine *Engine) Submit(submission Submission) error {
	// Members are bound one at a time and before this engine's mutex is locked,
	// because two engines may lead groups that contain each other, which could
	// deadlock.
	members := engine.group(submission.Group)
	boundTokens := 0
	for _, member := range members {
		boundTokens += member.bind(submission.Group, submission.Attempt)
	}
	err := engine.start(submission, members, boundTokens)
	var refused *RefusalError
	if errors.As(err, &refused) && !refused.Duplicate {
		for _, member := range members {
			member.Release(submission.Group)
		}
	}
	return err
}

// start creates the stream of an accepted submission. boundTokens is the memory
// reserved at the members.
func (engine *Engine) start(submission Submission, members []*Engine, boundTokens int) error {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	err := engine.check(submission, boundTokens)
	if err != nil {
		return err
	}
	engine.sequence++
	stream := newStream(submission, engine.sequence, engine.settings.BlockTokens, time.Now())
	stream.members = members
	engine.streams[submission.Attempt] = stream
	engine.executions.Add(execution.Execution{
		Attempt:      submission.Attempt,
		Request:      submission.Request,
		Organisation: submission.Organisation,
		Key:          submission.Key,
		Server:       engine.id,
	})
	engine.wake.Broadcast()
	return nil
}

// check returns a *RefusalError if the submission is refused, or nil. boundTokens
// is the memory reserved for its group.
func (engine *Engine) check(submission Submission, boundTokens int) error {
	tokens := PromptTokens(submission.Prompt) + submission.MaxTokens
	switch {
	case engine.closed:
		return &RefusalError{Reason: reasonCrashed}
	case engine.streams[submission.Attempt] != nil:
		return &RefusalError{Reason: "attempt exists", Duplicate: true}
	case engine.draining:
		return &RefusalError{Reason: "leaving", Draining: true}
	case !slices.Contains(engine.models, submission.Model):
		return &RefusalError{Reason: fmt.Sprintf("model %q is not loaded", submission.Model)}
	case submission.Group != "" && boundTokens < tokens:
		return &RefusalError{Reason: fmt.Sprintf("group holds %d tokens of %d", boundTokens, tokens)}
	case submission.Group == "" && engine.roundUp(tokens) > engine.settings.MemoryTokens:
		return &RefusalError{Reason: "prompt is longer than the engine's memory"}
	case rand.Float64() < engine.faults.ErrorRate: //nolint:gosec // not security-relevant
		return &RefusalError{Reason: "internal error"}
	case !engine.passesFence(submission):
		return &RefusalError{Reason: "fencing token is old"}
	}
	return nil
}

// passesFence reports whether the fencing token of a submission with a key isn't
// older than an earlier one. It returns true if the engine doesn't check tokens.
func (engine *Engine) passesFence(submission Submission) bool {
	if !engine.checksFencing || submission.Key == "" {
		return true
	}
	key := submission.Organisation + "\x00" + submission.Key
	if submission.Fence < engine.fences[key] {
		return false
	}
	engine.fences[key] = submission.Fence
	return true
}

// group returns the engines of a group named "id@engine,engine,...". Engines that
// aren't running are omitted.
func (engine *Engine) group(name string) []*Engine {
	if name == "" {
		return nil
	}
	_, list, _ := strings.Cut(name, "@")
	var members []*Engine
	for id := range strings.SplitSeq(list, ",") {
		if member := engine.peer(id); member != nil {
			members = append(members, member)
		}
	}
	return members
}

// bind binds a reservation to a stream, so that it doesn't expire while the stream
// is live. It returns the reserved tokens, or zero if there is no reservation.
func (engine *Engine) bind(id, attempt string) int {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	reservation := engine.reservations[id]
	if reservation == nil || engine.closed {
		return 0
	}
	reservation.bound = attempt
	return reservation.tokens
}

// Reserve reserves memory for a group, or returns a *RefusalError. The reservation
// expires after ttl unless it is bound to a stream or renewed by another call.
func (engine *Engine) Reserve(id string, tokens int, ttl time.Duration) error {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.expire(time.Now())
	tokens = engine.roundUp(tokens)
	switch {
	case engine.closed:
		return &RefusalError{Reason: reasonCrashed}
	case engine.draining:
		return &RefusalError{Reason: "leaving", Draining: true}
	case engine.reservations[id] != nil:
		engine.reservations[id].expires = time.Now().Add(ttl)
		return nil
	case engine.freeTokens() < tokens:
		return &RefusalError{Reason: "no memory"}
	}
	engine.reservations[id] = &reservation{tokens: tokens, expires: time.Now().Add(ttl)}
	engine.used += tokens
	engine.fitCache()
	return nil
}

// Release removes a reservation, if it exists.
func (engine *Engine) Release(id string) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.releaseLocked(id)
}

// releaseLocked is Release for callers that hold the mutex.
func (engine *Engine) releaseLocked(id string) {
	reservation := engine.reservations[id]
	if reservation == nil {
		return
	}
	engine.used -= reservation.tokens
	delete(engine.reservations, id)
	engine.wake.Broadcast()
}

// Cancel ends a stream. It returns false if the stream doesn't exist.
func (engine *Engine) Cancel(attempt string) bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	stream := engine.streams[attempt]
	if stream == nil {
		return false
	}
	engine.end(stream, backend.EndCancelled, "cancelled")
	engine.wake.Broadcast()
	return true
}

// Info returns information on the stream of an attempt. It returns false if the
// stream doesn't exist.
func (engine *Engine) Info(attempt string) (backend.StreamInfo, bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	stream := engine.streams[attempt]
	if stream == nil {
		return backend.StreamInfo{}, false
	}
	return stream.info(), true
}

// List returns information on all streams, including recently ended ones, ordered
// by attempt.
func (engine *Engine) List() []backend.StreamInfo {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	infos := make([]backend.StreamInfo, 0, len(engine.streams))
	for _, stream := range engine.streams {
		infos = append(infos, stream.info())
	}
	slices.SortFunc(infos, func(a, b backend.StreamInfo) int { return cmp.Compare(a.Attempt, b.Attempt) })
	return infos
}

func (stream *stream) info() backend.StreamInfo {
	return backend.StreamInfo{
		Attempt:      stream.Attempt,
		Request:      stream.Request,
		Organisation: stream.Organisation,
		Owner:        stream.Owner,
		Tokens:       stream.From + len(stream.tokens),
		End:          stream.end,
		Attached:     stream.readers > 0,
		TimeLeftMS:   time.Until(stream.deadline).Milliseconds(),
	}
}

// Read sends the frames of a stream, starting with the given token, until the
// stream ends, ctx is done or send fails. It returns false if the stream doesn't
// exist or starts later.
func (engine *Engine) Read(ctx context.Context, attempt string, from int, send func([]backend.Frame) error) bool {
	engine.mu.Lock()
	stream := engine.streams[attempt]
	if stream == nil || from < stream.From {
		engine.mu.Unlock()
		return false
	}
	stream.readers++
	engine.mu.Unlock()
	defer engine.detach(stream)
	for {
		frames, changed := engine.frames(stream, from)
		from += len(frames)
		if len(frames) > 0 && send(frames) != nil {
			return true
		}
		if changed == nil {
			return true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return true
		}
	}
}

// frames returns the available frames, starting with the given token, and a
// channel that is closed when there are more. The channel is nil after the last
// frame.
func (engine *Engine) frames(stream *stream, from int) ([]backend.Frame, <-chan struct{}) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	var frames []backend.Frame
	for seq := from; seq < stream.From+len(stream.tokens); seq++ {
		frames = append(frames, backend.Frame{Seq: seq, Text: stream.tokens[seq-stream.From]})
	}
	if stream.live() {
		return frames, stream.changed
	}
	end := backend.Frame{
		Seq:    stream.From + len(stream.tokens),
		End:    stream.end,
		Reason: stream.reason,
	}
	return append(frames, end), nil
}

// detach removes a reader from a stream.
func (engine *Engine) detach(stream *stream) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	stream.readers--
	stream.detachedAt = time.Now()
}

// Load returns the latest load report that is older than LoadLag.
func (engine *Engine) Load() backend.Load {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	cutoff := time.Now().Add(-engine.settings.LoadLag)
	for len(engine.reports) > 1 && engine.reports[1].at.Before(cutoff) {
		engine.reports = engine.reports[1:]
	}
	if len(engine.reports) == 0 {
		return engine.load()
	}
	return engine.reports[0].load
}

// CurrentLoad returns the current load, without the lag of load reports.
func (engine *Engine) CurrentLoad() backend.Load {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	return engine.load()
}

// load is CurrentLoad for callers that hold the mutex.
func (engine *Engine) load() backend.Load {
	load := backend.Load{FreeTokens: engine.freeTokens(), Draining: engine.draining}
	for _, stream := range engine.streams {
		if !stream.live() {
			continue
		}
		if stream.reserved > 0 || stream.Group != "" {
			load.Running++
		} else {
			load.Waiting++
		}
		remaining := max(0, stream.total-stream.computed) / stream.groupSize()
		load.QueuedPrefillTokens += remaining
		if stream.Priority < backend.PriorityShort {
			load.QueuedLongTokens += remaining
		}
	}
	return load
}

// RunMaintenance periodically expires streams and reservations and creates load
// reports until ctx is done.
func (engine *Engine) RunMaintenance(ctx context.Context) {
	ticker := time.NewTicker(maintenanceInterval)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			engine.tick(now)
		case <-ctx.Done():
			return
		}
	}
}

// tick does one round of maintenance. It also ends streams that have lost an
// engine of their group.
func (engine *Engine) tick(now time.Time) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.expire(now)
	engine.reports = append(engine.reports, report{at: now, load: engine.load()})
	for _, stream := range engine.streams {
		if stream.live() && slices.ContainsFunc(stream.members, func(member *Engine) bool {
			return member != engine && member.lost(stream.Group)
		}) {
			go engine.failGroup(stream.Attempt)
		}
	}
	engine.wake.Broadcast()
}

// lost reports whether the engine is closed or has no reservation for a group. It
// returns false if the engine is locked.
func (engine *Engine) lost(group string) bool {
	if !engine.mu.TryLock() {
		return false // two engines that lead groups with each other would deadlock
	}
	defer engine.mu.Unlock()
	return engine.closed || engine.reservations[group] == nil
}

// failGroup ends the stream of an attempt after the loss of an engine of its group.
func (engine *Engine) failGroup(attempt string) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	if stream := engine.streams[attempt]; stream != nil {
		engine.end(stream, backend.EndFailed, "an engine of the group died")
	}
}
