// Package engine stands in for a model engine: continuous batching in steps,
// chunked prefill, KV memory in blocks with a prefix cache, priorities with
// preemption, and streams that can be resumed and cancelled. It computes
// nothing; it takes the time that docs/STANDIN.md states.
package engine

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/mastwinch/mastwinch/internal/backend"
	"github.com/mastwinch/mastwinch/internal/standin/execution"
)

// reasonDied is why a dead engine refuses and its streams fail.
const reasonDied = "engine died"

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
		engine.end(stream, backend.EndFailed, reasonDied)
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
