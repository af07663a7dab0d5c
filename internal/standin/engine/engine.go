// Package engine simulates a model engine: continuous batching in steps, chunked
// prefill, KV memory in blocks with a prefix cache, priorities with preemption,
// and streams that can be resumed and cancelled. It runs no model, but takes the
// time that the cost model in docs/STANDIN.md specifies.
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

// reasonCrashed is the reason of refusals and failed streams of a closed engine.
const reasonCrashed = "engine died"

// Faults are failure modes that can be changed at run time.
type Faults struct {
	// ErrorRate is the fraction (0 to 1) of submissions that are refused with
	// an error. Load reports aren't affected.
	ErrorRate float64 `json:"error_rate"`
	// Slowdown multiplies the duration of steps if above one.
	Slowdown float64 `json:"slowdown"`
}

// Engine is a simulated model engine. It is safe for concurrent use.
type Engine struct {
	id            string
	models        []string
	checksFencing bool
	settings      Settings
	executions    *execution.Log
	// peer returns the running engine with the given ID, or nil.
	peer func(id string) *Engine

	mu       sync.Mutex
	faults   Faults
	draining bool
	// wake is signalled when there may be work for Run.
	wake     *sync.Cond
	closed   bool
	sequence uint64
	// streams has the queued, running and recently ended streams by attempt.
	streams      map[string]*stream
	reservations map[string]*reservation
	// used is the KV memory of streams and reservations, in tokens. It never
	// exceeds settings.MemoryTokens.
	used int
	// cache has the hashes of the cached blocks of earlier prompts. It uses only
	// free memory.
	cache *simplelru.LRU[uint64, struct{}]
	// groupTime is time for streams of other engines' groups, to be added to the
	// next step.
	groupTime time.Duration
	// fences has the highest fencing token seen for each organisation and key.
	fences map[string]uint64
	// reports has the load reports, oldest first.
	reports []report
	// commandToken is the highest fencing token of a command seen.
	commandToken uint64
	// fetch downloads the weights of a model.
	fetch  func(ctx context.Context, model string) error
	role   string
	events cacheEvents
}

// reservation is KV memory reserved for a stream of a group.
type reservation struct {
	tokens  int
	expires time.Time
	// bound is the attempt whose stream uses the reservation, or empty. A bound
	// reservation doesn't expire.
	bound string
}

// report is a load report.
type report struct {
	at   time.Time
	load backend.Load
}

// New returns an engine with the given models loaded. Run and RunMaintenance must
// be called to operate it. Accepted submissions are added to executions. peer
// returns other engines of a group by ID, and fetch downloads the weights of a
// model to load; each may be nil if groups or load commands aren't used.
func New(
	id string, models []string, checksFencing bool, settings Settings,
	executions *execution.Log, peer func(id string) *Engine,
	fetch func(ctx context.Context, model string) error,
) *Engine {
	cacheBlocks := max(1, settings.MemoryTokens/settings.BlockTokens)
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
	cache, err := simplelru.NewLRU(cacheBlocks, func(hash uint64, _ struct{}) {
		engine.events.add(eventEvicted, hash, time.Now())
	})
	if err != nil {
		panic(err) // can't happen: the size is positive
	}
	engine.cache = cache
	engine.wake = sync.NewCond(&engine.mu)
	return engine
}

// Run computes steps until the engine is closed.
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

// Close ends Run and fails all streams, like a crash of the engine.
func (engine *Engine) Close() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.closed = true
	for _, stream := range engine.streams {
		engine.end(stream, backend.EndFailed, reasonCrashed)
	}
	engine.wake.Broadcast()
}

// SetFaults replaces all faults.
func (engine *Engine) SetFaults(faults Faults) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.faults = faults
}

// Drain makes the engine refuse new streams and reservations; existing streams
// continue.
func (engine *Engine) Drain() {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.draining = true
}

// end ends a live stream and frees its memory at all engines of its group.
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

// freeTokens returns the KV memory available to streams and reservations, in tokens.
func (engine *Engine) freeTokens() int {
	return engine.settings.MemoryTokens - engine.used
}

// roundUp rounds a number of tokens up to whole blocks.
func (engine *Engine) roundUp(tokens int) int {
	block := engine.settings.BlockTokens
	return (tokens + block - 1) / block * block
}

// fitCache evicts the least recently used blocks until the cache fits into free
// memory.
func (engine *Engine) fitCache() {
	for engine.cache.Len()*engine.settings.BlockTokens > engine.freeTokens() {
		engine.cache.RemoveOldest()
	}
}

// cachedPrefix returns the number of tokens at the start of the prompt that are
// cached. The last token is always computed.
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

// cachePrompt adds the blocks of a stream's prompt to the prefix cache.
func (engine *Engine) cachePrompt(stream *stream) {
	engine.addToCache(stream.blocks)
}

// addToCache adds blocks to the prefix cache as far as they fit into free memory.
func (engine *Engine) addToCache(blocks []uint64) {
	for _, hash := range blocks {
		if !engine.cache.Contains(hash) {
			engine.events.add(eventStored, hash, time.Now())
		}
		engine.cache.Add(hash, struct{}{})
	}
	engine.fitCache()
}
