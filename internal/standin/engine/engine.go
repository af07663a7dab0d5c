// Package engine stands in for a model engine: continuous batching in steps,
// chunked prefill, KV memory in blocks with a prefix cache, priorities with
// preemption, and streams that can be resumed and cancelled. It computes
// nothing; it takes the time that docs/STANDIN.md states.
package engine

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
)

// Faults that can be switched while the engine runs.
type Faults struct {
	// ErrorRate is the part of submissions answered with an error, from 0
	// to 1, while the load report looks healthy.
	ErrorRate float64 `json:"error_rate"`
	// Slowdown multiplies the time of steps if above one.
	Slowdown float64 `json:"slowdown"`
}

// Engine is the stand-in for one model engine.
type Engine struct {
	id            string
	models        []string
	checksFencing bool
	settings      Settings
	executions    *execution.Log
	// peer finds the other engines of a group.
	peer func(id string) *Engine

	mu      sync.Mutex
	faults  Faults
	leaving bool
	// wake is signalled when there may be work.
	wake     *sync.Cond
	closed   bool
	sequence uint64
	// streams has waiting, running and recently ended streams by attempt.
	streams      map[string]*stream
	reservations map[string]*reservation
	// used is the KV memory held by streams and reservations, in tokens; it
	// never exceeds settings.MemoryTokens.
	used int
	// cache has the blocks of earlier prompts in otherwise free memory.
	cache *simplelru.LRU[uint64, struct{}]
	// borrowed is time that groups led by others take from the next steps.
	borrowed time.Duration
	// fences has the highest token seen for a key.
	fences  map[string]uint64
	reports []report
	// orderToken is the highest token of an order seen.
	orderToken uint64
	// fetch gets the weights of a model, which takes its time.
	fetch  func(ctx context.Context, model string) error
	role   string
	events cacheEvents
}

type reservation struct {
	tokens  int
	expires time.Time
	// bound names the stream that uses it; it then lasts as long as that.
	bound string
}

type report struct {
	at   time.Time
	load backend.Load
}

// New returns an engine, which computes while Run runs.
func New(
	id string, models []string, checksFencing bool, settings Settings,
	executions *execution.Log, peer func(id string) *Engine,
	fetch func(ctx context.Context, model string) error,
) *Engine {
	capacity := max(1, settings.MemoryTokens/settings.BlockTokens)
	engine := &Engine{
		id:            id,
		models:        slices.Clone(models),
		checksFencing: checksFencing,
		settings:      settings,
		executions:    executions,
		peer:          peer,
		streams:       make(map[string]*stream),
		reservations:  make(map[string]*reservation),
		fences:        make(map[string]uint64),
		fetch:         fetch,
	}
	cache, err := simplelru.NewLRU(capacity, func(hash uint64, _ struct{}) {
		engine.events.add(eventEvicted, hash, time.Now())
	})
	if err != nil {
		panic(err) // only for a capacity below one
	}
	engine.cache = cache
	engine.wake = sync.NewCond(&engine.mu)
	return engine
}

// Run computes steps until Close.
func (engine *Engine) Run() {
	for {
		plan, ok := engine.next()
		if !ok {
			return
		}
		time.Sleep(plan.cost)
		engine.commit(plan)
	}
}

// Close ends Run and fails all streams, as the death of the engine would.
func (engine *Engine) Close() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.closed = true
	for _, stream := range engine.streams {
		engine.end(stream, backend.EndFailed, "engine died")
	}
	engine.wake.Broadcast()
}

// SetFaults replaces the faults.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.faults = faults
}

// Leave makes the engine refuse new streams; those it has go on.
func (engine *Engine) Leave() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.leaving = true
}

// step is the work of one step.
type step struct {
	decode  []*stream
	prefill []chunk
	cost    time.Duration
}

// chunk is a part of a prompt.
type chunk struct {
	stream *stream
	tokens int
}

// next waits for work and returns the step to do, or false once closed.
func (engine *Engine) next() (step, bool) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for {
		if engine.closed {
			return step{}, false
		}
		engine.expire(time.Now())
		running := engine.schedule()
		if slices.ContainsFunc(running, func(stream *stream) bool { return !stream.paused }) {
			plan := engine.plan(running)
			plan.cost += engine.borrowed
			engine.borrowed = 0
			if engine.faults.Slowdown > 1 {
				plan.cost = time.Duration(float64(plan.cost) * engine.faults.Slowdown)
			}
			return plan, true
		}
		engine.borrowed = 0
		engine.wake.Wait()
	}
}

// expire ends streams that are late or that nobody reads, and forgets old
// ones and lapsed reservations.
func (engine *Engine) expire(now time.Time) {
	for attempt, stream := range engine.streams {
		switch {
		case !stream.live():
			if now.Sub(stream.ended) > engine.settings.KeepEnded {
				delete(engine.streams, attempt)
			}
		case now.After(stream.deadline):
			engine.end(stream, backend.EndDeadline, "time is over")
		case stream.readers == 0 && now.Sub(stream.detached) > engine.settings.DetachGrace:
			engine.end(stream, backend.EndCancelled, "nobody read it")
		}
	}
	for id, reservation := range engine.reservations {
		if reservation.bound == "" && now.After(reservation.expires) {
			engine.releaseLocked(id)
		}
	}
}

// schedule gives memory to waiting streams, highest priority first, and
// returns all that hold memory in that order.
func (engine *Engine) schedule() []*stream {
	order := make([]*stream, 0, len(engine.streams))
	for _, stream := range engine.streams {
		if stream.live() {
			order = append(order, stream)
		}
	}
	slices.SortFunc(order, func(a, b *stream) int {
		return cmp.Or(-cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.sequence, b.sequence))
	})
	// Once one has to wait, those after it must not take the memory that it
	// waits for; but those that have theirs go on, or none would be freed.
	blocked := false
	for _, stream := range order {
		if !engine.holds(stream) && !blocked {
			blocked = !engine.admit(stream, order)
		}
	}
	return slices.DeleteFunc(order, func(stream *stream) bool { return !engine.holds(stream) })
}

// admit gives stream its memory, if need be by preempting streams of lower
// priority, which start again later.
func (engine *Engine) admit(stream *stream, order []*stream) bool {
	need := engine.roundUp(stream.need())
	for i := len(order) - 1; i >= 0 && engine.free() < need; i-- {
		victim := order[i]
		if victim.Priority >= stream.Priority {
			return false
		}
		engine.used -= victim.reserved
		victim.reserved = 0
		if victim.Group == "" {
			victim.computed = 0
			victim.total = PromptTokens(victim.Prompt) + victim.From + len(victim.tokens)
		}
	}
	if engine.free() < need {
		return false
	}
	stream.reserved = need
	engine.used += need
	engine.fitCache()
	stream.computed = engine.cachedPrefix(stream)
	return true
}

// plan chooses the work of one step: a token for each stream that has its
// prompt computed, then prompts in the order of running.
func (engine *Engine) plan(running []*stream) step {
	settings := engine.settings
	plan := step{cost: settings.StepBase}
	budget := settings.StepTokens
	for _, stream := range running {
		if stream.paused {
			continue
		}
		if stream.decoding() && len(plan.decode) < settings.DecodeSlots && budget > 0 {
			plan.decode = append(plan.decode, stream)
			budget--
			context := stream.total + len(stream.tokens)
			plan.cost += settings.DecodeToken + nanoseconds(float64(context)*settings.DecodeContextNS/float64(stream.width()))
		}
	}
	for _, stream := range running {
		if stream.paused || stream.decoding() || budget <= 0 {
			continue
		}
		// Each engine of a group computes its part of the chunk.
		tokens := min(budget*stream.width(), stream.total-stream.computed)
		share := (tokens + stream.width() - 1) / stream.width()
		budget -= share
		cost := time.Duration(share)*settings.PrefillToken +
			nanoseconds(float64(share)*float64(stream.computed)*settings.PrefillPairNS)
		plan.cost += cost
		plan.prefill = append(plan.prefill, chunk{stream: stream, tokens: tokens})
		engine.charge(stream, cost)
	}
	return plan
}

// charge makes the other engines of a group spend cost too.
func (engine *Engine) charge(stream *stream, cost time.Duration) {
	for _, member := range stream.members {
		if member != engine {
			go member.borrow(cost)
		}
	}
}

func (engine *Engine) borrow(cost time.Duration) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.borrowed += cost
}

// commit adds what the step computed to the streams that still live.
func (engine *Engine) commit(plan step) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for _, chunk := range plan.prefill {
		stream := chunk.stream
		if !engine.holds(stream) {
			continue
		}
		stream.computed += chunk.tokens
		if stream.decoding() {
			engine.remember(stream)
			engine.generate(stream)
		}
	}
	for _, stream := range plan.decode {
		if engine.holds(stream) {
			engine.generate(stream)
		}
	}
}

// holds reports whether stream lives and still has its memory.
func (engine *Engine) holds(stream *stream) bool {
	return stream.live() && (stream.reserved > 0 || stream.Group != "")
}

func (engine *Engine) generate(stream *stream) {
	stream.emit()
	if stream.From+len(stream.tokens) >= stream.MaxTokens {
		engine.end(stream, backend.EndCompleted, "")
	}
}

// end settles stream and frees its memory, at every engine of its group.
func (engine *Engine) end(stream *stream, end backend.End, reason string) {
	if !stream.live() {
		return
	}
	stream.finish(end, reason, time.Now())
	engine.used -= stream.reserved
	stream.reserved = 0
	if stream.Group == "" {
		return
	}
	engine.releaseLocked(stream.Group)
	for _, member := range stream.members {
		if member != engine {
			go member.Release(stream.Group)
		}
	}
}

func (engine *Engine) free() int {
	return engine.settings.MemoryTokens - engine.used
}

func (engine *Engine) roundUp(tokens int) int {
	block := engine.settings.BlockTokens
	return (tokens + block - 1) / block * block
}

// fitCache drops the oldest cached blocks that no longer fit.
func (engine *Engine) fitCache() {
	for engine.cache.Len()*engine.settings.BlockTokens > engine.free() {
		engine.cache.RemoveOldest()
	}
}

// cachedPrefix returns how many tokens at the start of the prompt need not be
// computed. The last token always is.
func (engine *Engine) cachedPrefix(stream *stream) int {
	blocks := 0
	for _, hash := range stream.blocks {
		if _, ok := engine.cache.Get(hash); !ok {
			break
		}
		blocks++
	}
	return min(blocks*engine.settings.BlockTokens, stream.total-1)
}

func (engine *Engine) remember(stream *stream) {
	engine.store(stream.blocks)
}

// store adds blocks to the prefix cache as far as they fit.
func (engine *Engine) store(blocks []uint64) {
	for _, hash := range blocks {
		if !engine.cache.Contains(hash) {
			engine.events.add(eventStored, hash, time.Now())
		}
		engine.cache.Add(hash, struct{}{})
	}
	engine.fitCache()
}

func nanoseconds(value float64) time.Duration {
	return time.Duration(value)
}
