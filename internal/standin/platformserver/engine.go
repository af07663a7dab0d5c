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
func (fleet *Fleet) add(address string, engine *Engine) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.engines[address] = engine
}

// engineAt returns the engine at an address, or nil.
func (fleet *Fleet) engineAt(address string) *Engine {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.engines[address]
}

// Engine is a simulated model engine with continuous batching: each pass
// advances the prefill and the decoding of all running requests.
type Engine struct {
	*server

	model Model
	fleet *Fleet

	passMu sync.Mutex
	// queued has the requests that aren't admitted yet, and running the admitted
	// ones in the order of admission.
	queued  []*generation
	running []*generation
	// prefills has the prefills in progress in order of priority. Those for other
	// engines come first.
	prefills []*prefill
	// reservations has the reservations by ticket.
	reservations map[string]*reservation
	killed       bool
	// wake has an element when there may be work.
	wake chan struct{}
}

// prefill is the prefill of a prompt or of a part of it at one engine.
type prefill struct {
	tokens    int
	processed int
	// pairsShare scales the token pairs of the part to its share of the pairs of
	// the whole prompt.
	pairsShare float64
	// isHelp reports whether the prefill is for another engine's request.
	isHelp bool
	// finished is closed at the end of the prefill.
	finished chan struct{}
	// requester is the engine whose request the prefill is for.
	requester *Engine
}

// generation is a request at the engine that received it and decodes it.
type generation struct {
	promptTokens   int
	outputTokens   int
	urgency        int
	reservedTokens int // prompt tokens stored in reservations
	// remoteTokens is the part of reservedTokens at other engines.
	remoteTokens  int
	decodedTokens int
	ownPrefill    *prefill
	// helperPrefills has the parts of the prefill at the helpers.
	helperPrefills []*prefill
	helpers        []*Engine
	// admitted is closed when the request gets a slot and memory. events receives
	// the number of each event when it is generated, and is closed after the last.
	admitted chan struct{}
	events   chan int
	// ended reports that the handler has returned or a reservation has expired,
	// so the request is to be dropped.
	ended bool
}

// memoryTokens returns the tokens of KV memory that the generation uses at its own
// engine, without reservations.
func (generation *generation) memoryTokens() int {
	return generation.promptTokens - generation.reservedTokens + generation.decodedTokens
}

// contextTokens returns the tokens that each decode step at the request's engine reads.
func (generation *generation) contextTokens() int {
	return generation.promptTokens - generation.remoteTokens + generation.decodedTokens
}

// NewEngine returns an engine that has been added to the fleet and runs until ctx
// is done. The seed determines which requests are affected by faults.
func NewEngine(ctx context.Context, identity Identity, model Model, fleet *Fleet, record *Record, seed uint64) *Engine {
	engine := &Engine{
		server: newServer(identity, record, seed), model: model, fleet: fleet,
		reservations: make(map[string]*reservation), wake: make(chan struct{}, 1),
	}
	fleet.add(identity.Address, engine)
	go engine.run(ctx)
	return engine
}

// Kill stops the engine's computation for good and drops its reservations.
func (engine *Engine) Kill() {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	engine.killed = true
	engine.reservations = make(map[string]*reservation)
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
func (engine *Engine) run(ctx context.Context) {
	for ctx.Err() == nil {
		cost, finish := engine.planPass()
		if cost <= 0 {
			select {
			case <-engine.wake:
			case <-ctx.Done():
			}
			continue
		}
		if wait.For(ctx, time.Duration(engine.slowdown()*float64(cost))) {
			finish()
		}
	}
}

// planPass plans the next pass. It returns the time that the pass takes, or zero if
// there is no work, and a function that applies its results.
func (engine *Engine) planPass() (time.Duration, func()) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	if engine.killed {
		return 0, nil
	}
	engine.removeEnded()
	engine.admitQueued()
	decoding, cost := engine.decoding()
	steps := 1
	if len(decoding) > 0 {
		steps = engine.model.StepsPerPass
	}
	budget := steps * engine.model.ChunkTokens
	progress := make(map[*prefill]int)
	for _, prefill := range engine.prefills {
		chunkTokens := min(budget, prefill.tokens-prefill.processed)
		if chunkTokens == 0 {
			continue
		}
		progress[prefill] = chunkTokens
		budget -= chunkTokens
		cost += engine.model.prefillTime(prefill.processed, prefill.processed+chunkTokens, prefill.pairsShare)
	}
	if len(decoding) == 0 && len(progress) == 0 {
		return 0, nil
	}
	if len(decoding) == 0 {
		cost += engine.model.StepTime
	}
	return cost, func() { engine.finishPass(decoding, progress) }
}

// decoding returns the requests that decode, and the time of their steps in a pass.
func (engine *Engine) decoding() ([]*generation, time.Duration) {
	var decoding []*generation
	var contexts []int
	var remoteTime time.Duration
	for _, generation := range engine.running {
		if generation.isPrefilled() {
			decoding = append(decoding, generation)
			contexts = append(contexts, generation.contextTokens())
			if generation.remoteTokens > 0 {
				remoteTime += engine.model.RemoteMemoryStepTime
			}
		}
	}
	if len(decoding) == 0 {
		return nil, 0
	}
	return decoding, time.Duration(engine.model.StepsPerPass) * (engine.model.decodeStepTime(contexts) + remoteTime)
}

// isPrefilled reports whether all parts of the prefill are finished.
func (generation *generation) isPrefilled() bool {
	for _, prefill := range append([]*prefill{generation.ownPrefill}, generation.helperPrefills...) {
		select {
		case <-prefill.finished:
		default:
			return false
		}
	}
	return true
}

// finishPass applies the results of a pass.
func (engine *Engine) finishPass(decoding []*generation, progress map[*prefill]int) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	for prefill, chunkTokens := range progress {
		prefill.processed += chunkTokens
		if prefill.processed == prefill.tokens {
			close(prefill.finished)
			prefill.requester.signal()
		}
	}
	engine.prefills = slices.DeleteFunc(engine.prefills, func(prefill *prefill) bool { return prefill.processed == prefill.tokens })
	for _, generation := range decoding {
		engine.decode(generation)
	}
	engine.signal()
}

// decode adds the output tokens of one pass to a generation.
func (engine *Engine) decode(generation *generation) {
	if generation.ended || generation.decodedTokens >= generation.outputTokens {
		return
	}
	generation.decodedTokens = min(generation.outputTokens, generation.decodedTokens+engine.model.StepsPerPass)
	event := (generation.decodedTokens + engine.model.StepsPerPass - 1) / engine.model.StepsPerPass
	generation.events <- event // doesn't block: the buffer has space for all events
	if generation.decodedTokens >= generation.outputTokens {
		close(generation.events)
	}
}

// removeEnded removes generations that are complete or have been ended.
func (engine *Engine) removeEnded() {
	isFinished := func(generation *generation) bool {
		return generation.ended || generation.decodedTokens >= generation.outputTokens
	}
	for _, generation := range engine.running {
		if generation.ended {
			engine.prefills = slices.DeleteFunc(engine.prefills, func(prefill *prefill) bool { return prefill == generation.ownPrefill })
		}
	}
	engine.running = slices.DeleteFunc(engine.running, isFinished)
	engine.queued = slices.DeleteFunc(engine.queued, isFinished)
}

// admitQueued admits queued requests in order of urgency while there are free
// slots and memory. A request that doesn't fit blocks those after it.
func (engine *Engine) admitQueued() {
	engine.expireReservations()
	slices.SortStableFunc(engine.queued, func(a, b *generation) int { return cmp.Compare(a.urgency, b.urgency) })
	for len(engine.queued) > 0 && len(engine.running) < engine.model.Slots {
		next := engine.queued[0]
		if engine.freeTokens() < next.memoryTokens() {
			return
		}
		engine.queued = engine.queued[1:]
		engine.running = append(engine.running, next)
		engine.prefills = append(engine.prefills, next.ownPrefill)
		close(next.admitted)
	}
}

// freeTokens returns the memory in tokens that neither requests nor reservations use.
func (engine *Engine) freeTokens() int {
	freeTokens := engine.model.MemoryTokens
	for _, generation := range engine.running {
		freeTokens -= generation.memoryTokens()
	}
	for _, reservation := range engine.reservations {
		freeTokens -= reservation.tokens
	}
	return freeTokens
}

// startHelperPrefill starts the prefill of a part of a prompt for another engine,
// before the prefills of the engine's own requests. It returns false if the engine
// has been killed or has too many such prefills.
func (engine *Engine) startHelperPrefill(requester *Engine, tokens int, pairsShare float64) (*prefill, bool) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	helpCount := 0
	for _, prefill := range engine.prefills {
		if prefill.isHelp {
			helpCount++
		}
	}
	if engine.killed || helpCount >= engine.model.Slots {
		return nil, false
	}
	added := &prefill{tokens: tokens, pairsShare: pairsShare, isHelp: true, finished: make(chan struct{}), requester: requester}
	engine.prefills = slices.Insert(engine.prefills, helpCount, added)
	engine.signal()
	return added, true
}

// stopPrefills ends prefills for another engine whose request has ended.
func (engine *Engine) stopPrefills(ended []*prefill) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	engine.prefills = slices.DeleteFunc(engine.prefills, func(prefill *prefill) bool { return slices.Contains(ended, prefill) })
	engine.signal()
}
