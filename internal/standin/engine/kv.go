package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/wait"
)

// eventKind says what happened to a block in the prefix cache.
type eventKind string

const (
	eventStored  eventKind = "stored"
	eventEvicted eventKind = "evicted"
)

// maxCacheEvents is how many cache events an engine keeps.
const maxCacheEvents = 10_000

// CacheEvent tells of one block in the prefix cache.
type CacheEvent struct {
	// Seq counts events; a gap means that some were lost.
	Seq  uint64    `json:"seq"`
	Kind eventKind `json:"kind"`
	Hash uint64    `json:"hash"`
	at   time.Time
}

// cacheEvents has the last events, oldest first.
type cacheEvents struct {
	next uint64
	list []CacheEvent
}

func (cacheevents *cacheEvents) add(kind eventKind, hash uint64, now time.Time) {
	cacheevents.list = append(cacheevents.list, CacheEvent{Seq: cacheevents.next, Kind: kind, Hash: hash, at: now})
	cacheevents.next++
	if len(cacheevents.list) > 2*maxCacheEvents {
		cacheevents.list = slices.Clone(cacheevents.list[maxCacheEvents:])
	}
}

// CacheEvents returns the events from one on, late and with gaps.
func (engine *Engine) CacheEvents(from uint64) []CacheEvent {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	published := time.Now().Add(-engine.settings.CacheEventLag)
	var events []CacheEvent
	for _, event := range engine.events.list {
		if event.Seq < from || event.at.After(published) {
			continue
		}
		if rand.Float64() >= engine.settings.CacheEventLoss { //nolint:gosec // no secret
			events = append(events, event)
		}
	}
	return events
}

// KV is exported KV memory, as the blocks that it holds.
type KV struct {
	Blocks []uint64 `json:"blocks"`
}

// Export copies the KV memory of a stream's prompt as far as it is computed. It
// takes time, and reports false when there is no such stream.
func (engine *Engine) Export(ctx context.Context, attempt string) (KV, bool) {
	engine.mu.Lock()
	stream := engine.streams[attempt]
	if stream == nil {
		engine.mu.Unlock()
		return KV{}, false
	}
	computed := min(stream.computed/engine.settings.BlockTokens, len(stream.blocks))
	kv := KV{Blocks: slices.Clone(stream.blocks[:computed])}
	engine.mu.Unlock()
	return kv, engine.transfer(ctx, kv)
}

// Import adds exported KV memory to the prefix cache. It takes time.
func (engine *Engine) Import(ctx context.Context, kv KV) bool {
	if !engine.transfer(ctx, kv) {
		return false
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.store(kv.Blocks)
	return true
}

func (engine *Engine) transfer(ctx context.Context, kv KV) bool {
	tokens := len(kv.Blocks) * engine.settings.BlockTokens
	return wait.For(ctx, time.Duration(tokens)*engine.settings.TransferToken)
}
