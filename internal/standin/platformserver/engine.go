package platformserver

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/wait"
)

// Fleet has the engines by address, for prompts whose prefill is divided among
// several engines. It is safe for concurrent use.
type Fleet struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

// NewFleet returns a fleet without engines; NewEngine adds them.
func NewFleet() *Fleet {
	return &Fleet{engines: make(map[string]*Engine)}
}

// add adds an engine, or replaces the one at the same address.
func (fleet *Fleet) set(address string, engine *Engine) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.engines[address] = engine
}

// engineAt returns the engine at an address, or nil.
func (fleet *Fleet) at(address string) *Engine {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.engines[address]
}

// Engine is a simulated model engine with continuous batching: each pass
// advances the prefill and the decoding of all running requests.
type Engine struct {
	*front

	model Model
	fleet *Fleet

	passMu sync.Mutex
	// queued has the requests that aren't admitted yet, and running the admitted
	// ones in the order of admission.
	waiting []*generation
	running []*generation
	// prefills has the prefills in progress in order of priority. Those for other
	// engines come first.
	parts []*part
	// reservations has the reservations by ticket.
	tickets map[string]*ticket
	dead    bool
	// wake has an element when there may be work.
	wake chan struct{}
}

// prefill is the prefill of a prompt or of a part of it at one engine.
type part struct {
	tokens int
	done   int
	// pairsShare scales the token pairs of the part to its share of the pairs of
	// the whole prompt.
	pairsShare float64
	// isHelp reports whether the prefill is for another engine's request.
	helps bool
	// finished is closed at the end of the prefill.
	read chan struct{}
	// requester is the engine whose request the prefill is for.
	first *Engine
}

// generation is a request at the engine that received it and decodes it.
type generation struct {
	prompt   int
	total    int
	urgency  int
	reserved int // prompt tokens stored in reservations
	// hasSpreadMemory reports whether the prompt uses reservations, which are
	// usually at several engines.
	spread  bool
	written int
	own     *part
	// helperPrefills has the parts of the prefill at the helpers.
	others  []*part
	helpers []*Engine
	// admitted is closed when the request gets a slot and memory. events receives
	// the number of each event when it is generated, and is closed after the last.
	admitted chan struct{}
	events   chan int
	// ended reports that the handler has returned or a reservation has expired,
	// so the request is to be dropped.
	gone bool
}

// memory returns the tokens of KV memory that the generation uses at its own
// engine, without reservations.
func (generation *generation) memory() int {
	return generation.prompt - generation.reserved + generation.written
}

// NewEngine returns an engine that has been added to the fleet and runs until ctx
// is done. The seed determines which requests are affected by faults.
func NewEngine(ctx context.Context, identity Identity, model Model, fleet *Fleet, record *Record, seed uint64) *Engine {
	engine := &Engine{
		front: newFront(identity, record, seed), model: model, fleet: fleet,
		tickets: make(map[string]*ticket), wake: make(chan struct{}, 1),
	}
	fleet.set(identity.Address, engine)
	go engine.work(ctx)
	return engine
}

// Kill stops the engine's computation for good and drops its reservations.
func (engine *Engine) Kill() {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	engine.dead = true
	engine.tickets = make(map[string]*ticket)
}

// signal wakes the engine if it is idle.
func (engine *Engine) signal() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

// run runs passes until ctx is done. A pass takes its planned time, multiplied by
// the slowdown, and then takes effect.
func (engine *Engine) work(ctx context.Context) {
	for ctx.Err() == nil {
		cost, finish := engine.pass()
		if cost <= 0 {
			select {
			case <-engine.wake:
			case <-ctx.Done():
			}
			continue
		}
		if wait.For(ctx, time.Duration(engine.slow()*float64(cost))) {
			finish()
		}
	}
}

// planPass plans the next pass. It returns the time that the pass takes, or zero if
// there is no work, and a function that applies its results.
func (engine *Engine) pass() (time.Duration, func()) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	if engine.dead {
		return 0, nil
	}
	engine.forget()
	engine.admitWaiting()
	decoding, cost := engine.writers()
	steps := 1
	if len(decoding) > 0 {
		steps = engine.model.Stride
	}
	budget := steps * engine.model.Chunk
	progress := make(map[*part]int)
	for _, prefill := range engine.parts {
		chunkTokens := min(budget, prefill.tokens-prefill.done)
		if chunkTokens == 0 {
			continue
		}
		progress[prefill] = chunkTokens
		budget -= chunkTokens
		cost += engine.model.readTime(prefill.done, prefill.done+chunkTokens, prefill.pairsShare)
	}
	if len(decoding) == 0 && len(progress) == 0 {
		return 0, nil
	}
	if len(decoding) == 0 {
		cost += engine.model.Step
	}
	return cost, func() { engine.finish(decoding, progress) }
}

// decoding returns the requests that decode, and the time of their steps in a pass.
func (engine *Engine) writers() ([]*generation, time.Duration) {
	var decoding []*generation
	var contexts []int
	var remoteTime time.Duration
	for _, generation := range engine.running {
		if generation.isRead() {
			decoding = append(decoding, generation)
			contexts = append(contexts, generation.memory())
			if generation.spread {
				remoteTime += engine.model.Hop
			}
		}
	}
	if len(decoding) == 0 {
		return nil, 0
	}
	return decoding, time.Duration(engine.model.Stride) * (engine.model.stepTime(contexts) + remoteTime)
}

// isPrefilled reports whether all parts of the prefill are finished.
func (generation *generation) isRead() bool {
	for _, prefill := range append([]*part{generation.own}, generation.others...) {
		select {
		case <-prefill.read:
		default:
			return false
		}
	}
	return true
}

// finishPass applies the results of a pass.
func (engine *Engine) finish(decoding []*generation, progress map[*part]int) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	for prefill, chunkTokens := range progress {
		prefill.done += chunkTokens
		if prefill.done == prefill.tokens {
			close(prefill.read)
			prefill.first.signal()
		}
	}
	engine.parts = slices.DeleteFunc(engine.parts, func(prefill *part) bool { return prefill.done == prefill.tokens })
	for _, generation := range decoding {
		engine.write(generation)
	}
	engine.signal()
}

// decode adds the output tokens of one pass to a generation.
func (engine *Engine) write(generation *generation) {
	if generation.gone || generation.written >= generation.total {
		return
	}
	generation.written = min(generation.total, generation.written+engine.model.Stride)
	event := (generation.written + engine.model.Stride - 1) / engine.model.Stride
	generation.events <- event // doesn't block: the buffer has space for all events
	if generation.written >= generation.total {
		close(generation.events)
	}
}

// removeEnded removes generations that are complete or have been ended.
func (engine *Engine) forget() {
	isFinished := func(generation *generation) bool {
		return generation.gone || generation.written >= generation.total
	}
	for _, generation := range engine.running {
		if generation.gone {
			engine.parts = slices.DeleteFunc(engine.parts, func(prefill *part) bool { return prefill == generation.own })
		}
	}
	engine.running = slices.DeleteFunc(engine.running, isFinished)
	engine.waiting = slices.DeleteFunc(engine.waiting, isFinished)
}

// admitQueued admits queued requests in order of urgency while there are free
// slots and memory. A request that doesn't fit blocks those after it.
func (engine *Engine) admitWaiting() {
	engine.lapse()
	slices.SortStableFunc(engine.waiting, func(a, b *generation) int { return cmp.Compare(a.urgency, b.urgency) })
	for len(engine.waiting) > 0 && len(engine.running) < engine.model.Slots {
		next := engine.waiting[0]
		if engine.free() < next.memory() {
			return
		}
		engine.waiting = engine.waiting[1:]
		engine.running = append(engine.running, next)
		engine.parts = append(engine.parts, next.own)
		close(next.admitted)
	}
}

// freeTokens returns the memory in tokens that neither requests nor reservations use.
func (engine *Engine) free() int {
	freeTokens := engine.model.Memory
	for _, generation := range engine.running {
		freeTokens -= generation.memory()
	}
	for _, reservation := range engine.tickets {
		freeTokens -= reservation.tokens
	}
	return freeTokens
}

// startHelperPrefill starts the prefill of a part of a prompt for another engine,
// before the prefills of the engine's own requests. It returns false if the engine
// has been killed or has too many such prefills.
func (engine *Engine) help(requester *Engine, tokens int, pairsShare float64) (*part, bool) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	helpCount := 0
	for _, prefill := range engine.parts {
		if prefill.helps {
			helpCount++
		}
	}
	if engine.dead || helpCount >= engine.model.Slots {
		return nil, false
	}
	added := &part{tokens: tokens, pairsShare: pairsShare, helps: true, read: make(chan struct{}), first: requester}
	engine.parts = slices.Insert(engine.parts, helpCount, added)
	engine.signal()
	return added, true
}
