package engine

import (
	"cmp"
	"slices"
	"time"

	"github.com/mastwinch/mastwinch/internal/backend"
)

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

func nanoseconds(value float64) time.Duration {
	return time.Duration(value)
}
