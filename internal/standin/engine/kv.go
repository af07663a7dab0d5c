package engine

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/wait"
)

// eventKind is the kind of change of the prefix cache.
type eventKind string

const (
	eventStored  eventKind = "stored"
	eventEvicted eventKind = "evicted"
)

// maxCacheEvents is the minimum number of recent cache events that an engine keeps.
const maxCacheEvents = 10_000

// CacheEvent reports that a block was stored in or evicted from the prefix cache.
type CacheEvent struct {
	// Seq is the sequence number; a gap means that events are missing.
	Seq  uint64    `json:"seq"`
	Kind eventKind `json:"kind"`
	Hash uint64    `json:"hash"`
	at   time.Time
}

// cacheEvents has the most recent events, oldest first.
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

// CacheEvents returns the published events from the given sequence number. Events
// are published with a delay, and a random fraction of them is missing.
func (engine *Engine) CacheEvents(from uint64) []CacheEvent {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	published := time.Now().Add(-engine.settings.CacheEventLag)
	var events []CacheEvent
	for _, event := range engine.events.list {
		if event.Seq < from || event.at.After(published) {
			continue
		}
		if rand.Float64() >= engine.settings.CacheEventLoss { //nolint:gosec // not security-relevant
			events = append(events, event)
		}
	}
	return events
}

// KV is exported KV memory, represented by the hashes of its blocks.
type KV struct {
	Blocks []uint64 `json:"blocks"`
}

// Export copies the KV memory of the computed part of a stream's prompt, which
// takes time. It returns false if the stream doesn't exist or ctx is done.
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

// Import adds exported KV memory to the prefix cache, which takes time. It returns
// false if ctx is done first.
func (engine *Engine) Import(ctx context.Context, kv KV) bool {
	if !engine.transfer(ctx, kv) {
		return false
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.addToCache(kv.Blocks)
	return true
}

// transfer waits for the time that the transfer of KV memory takes. It returns
// false if ctx is done first.
func (engine *Engine) transfer(ctx context.Context, kv KV) bool {
	tokens := len(kv.Blocks) * engine.settings.BlockTokens
	return wait.For(ctx, time.Duration(tokens)*engine.settings.TransferToken)
}
