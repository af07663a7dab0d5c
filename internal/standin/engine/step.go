package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/backend"
)

// step is the plan of one step: the streams that get a token, the chunks to
// prefill, and the duration.
type step struct {
	decode  []*stream
	prefill []chunk
	cost    time.Duration
}

// chunk is a part of a stream's prefill.
type chunk struct {
	stream *stream
	tokens int
}

// next waits for work and returns the next step. It returns false once the engine
// is closed.
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
			plan.cost += engine.groupTime
			engine.groupTime = 0
			if engine.faults.Slowdown > 1 {
				plan.cost = time.Duration(float64(plan.cost) * engine.faults.Slowdown)
			}
			return plan, true
		}
		engine.groupTime = 0
		engine.wake.Wait()
	}
}

// expire ends streams whose deadline has passed or that have no readers, and
// removes streams that ended long ago and expired reservations. The caller must
// hold the mutex.
func (engine *Engine) expire(now time.Time) {
	for attempt, stream := range engine.streams {
		switch {
		case !stream.live():
			if now.Sub(stream.endedAt) > engine.settings.EndedRetention {
				delete(engine.streams, attempt)
			}
		case now.After(stream.deadline):
			engine.end(stream, backend.EndDeadline, "time is over")
		case stream.readers == 0 && now.Sub(stream.detachedAt) > engine.settings.DetachGrace:
			engine.end(stream, backend.EndCancelled, "nobody read it")
		}
	}
	for id, reservation := range engine.reservations {
		if reservation.bound == "" && now.After(reservation.expires) {
			engine.releaseLocked(id)
		}
	}
}

// schedule allocates memory to queued streams in order of priority. It returns all
// streams that have memory in that order.
func (engine *Engine) schedule() []*stream {
	byPriority := make([]*stream, 0, len(engine.streams))
	for _, stream := range engine.streams {
		if stream.live() {
			byPriority = append(byPriority, stream)
		}
	}
	slices.SortFunc(byPriority, func(a, b *stream) int {
		return cmp.Or(-cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.sequence, b.sequence))
	})
	// If a stream has to wait for memory, no stream after it may get any, so
	// that it isn't starved. Streams that have memory continue, since otherwise
	// none would be freed.
	blocked := false
	for _, stream := range byPriority {
		if !engine.hasMemory(stream) && !blocked {
			blocked = !engine.admit(stream, byPriority)
		}
	}
	return slices.DeleteFunc(byPriority, func(stream *stream) bool { return !engine.hasMemory(stream) })
}

// admit allocates memory to a stream. If there isn't enough, it preempts streams of
// lower priority, which are queued again and recompute their prefill. It returns
// false if there still isn't enough. byPriority has all live streams, highest priority first.
func (engine *Engine) admit(stream *stream, byPriority []*stream) bool {
	requiredTokens := engine.roundUp(stream.requiredTokens())
	for i := len(byPriority) - 1; i >= 0 && engine.freeTokens() < requiredTokens; i-- {
		victim := byPriority[i]
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
	if engine.freeTokens() < requiredTokens {
		return false
	}
	stream.reserved = requiredTokens
	engine.used += requiredTokens
	engine.fitCache()
	stream.computed = engine.cachedPrefix(stream)
	return true
}

// plan plans one step: a token for each stream whose prefill is complete, then
// prefill chunks in the order of running, within the token budget.
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
			plan.cost += settings.DecodeToken + nanoseconds(float64(context)*settings.DecodeContextNS/float64(stream.groupSize()))
		}
	}
	for _, stream := range running {
		if stream.paused || stream.decoding() || budget <= 0 {
			continue
		}
		// The engines of a group each compute an equal share of the chunk.
		tokens := min(budget*stream.groupSize(), stream.total-stream.computed)
		share := (tokens + stream.groupSize() - 1) / stream.groupSize()
		budget -= share
		cost := time.Duration(share)*settings.PrefillToken +
			nanoseconds(float64(share)*float64(stream.computed)*settings.PrefillPairNS)
		plan.cost += cost
		plan.prefill = append(plan.prefill, chunk{stream: stream, tokens: tokens})
		engine.charge(stream, cost)
	}
	return plan
}

// charge adds the time of a chunk to the next steps of the other engines of a
// group.
func (engine *Engine) charge(stream *stream, cost time.Duration) {
	for _, member := range stream.members {
		if member != engine {
			go member.addGroupTime(cost)
		}
	}
}

// addGroupTime adds time spent on a group of another engine to the next step.
func (engine *Engine) addGroupTime(cost time.Duration) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	engine.groupTime += cost
}

// commit applies the results of a step to the streams that still have memory.
func (engine *Engine) commit(plan step) {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	for _, chunk := range plan.prefill {
		stream := chunk.stream
		if !engine.hasMemory(stream) {
			continue
		}
		stream.computed += chunk.tokens
		if stream.decoding() {
			engine.cachePrompt(stream)
			engine.generate(stream)
		}
	}
	for _, stream := range plan.decode {
		if engine.hasMemory(stream) {
			engine.generate(stream)
		}
	}
}

// hasMemory reports whether a stream is live and has memory allocated.
func (engine *Engine) hasMemory(stream *stream) bool {
	return stream.live() && (stream.reserved > 0 || stream.Group != "")
}

// generate adds a token to a stream and ends it at its maximum length.
func (engine *Engine) generate(stream *stream) {
	stream.emit()
	if stream.From+len(stream.tokens) >= stream.MaxTokens {
		engine.end(stream, backend.EndCompleted, "")
	}
}

func nanoseconds(value float64) time.Duration {
	return time.Duration(value)
}
