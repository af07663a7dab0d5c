package platformserver

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/mastwinch/mastwinch/internal/wait"
)

// Fleet finds engines by their addresses, for prompts that several read.
type Fleet struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

// NewFleet returns a fleet without engines.
func NewFleet() *Fleet {
	return &Fleet{engines: make(map[string]*Engine)}
}

func (fleet *Fleet) set(address string, engine *Engine) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.engines[address] = engine
}

// at returns the engine at an address, or nil.
func (fleet *Fleet) at(address string) *Engine {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.engines[address]
}

// Engine is a model engine. It proceeds in passes over all that it reads and
// writes.
type Engine struct {
	*front

	model Model
	fleet *Fleet

	passMu sync.Mutex
	// waiting has the requests that are not admitted, and running the others, in
	// the order of admission.
	waiting []*generation
	running []*generation
	// parts has what is read, helpers' parts before others.
	parts   []*part
	tickets map[string]*ticket
	dead    bool
	// wake has an element when there is something to do.
	wake chan struct{}
}

// part is the reading of a prompt, or of a part of it, at one engine.
type part struct {
	tokens int
	done   int
	// pairsShare scales the pairs of the part to its share of the whole prompt's.
	pairsShare float64
	helps      bool
	read       chan struct{}
	// first is the engine that waits for it.
	first *Engine
}

// generation is one request at its first engine.
type generation struct {
	prompt   int
	total    int
	urgency  int
	reserved int // tokens of the prompt that lie in tickets
	spread   bool
	written  int
	own      *part
	// others has the parts that helpers read.
	others  []*part
	helpers []*Engine
	// admitted is closed when it has a slot and memory, and events gets the
	// number of each event as it is written.
	admitted chan struct{}
	events   chan int
	gone     bool
}

// memory is what the generation takes at its first engine, tickets left out.
func (generation *generation) memory() int {
	return generation.prompt - generation.reserved + generation.written
}

// NewEngine returns an engine that works until ctx is done.
func NewEngine(ctx context.Context, identity Identity, model Model, fleet *Fleet, record *Record, seed uint64) *Engine {
	engine := &Engine{
		front: newFront(identity, record, seed), model: model, fleet: fleet,
		tickets: make(map[string]*ticket), wake: make(chan struct{}, 1),
	}
	fleet.set(identity.Address, engine)
	go engine.work(ctx)
	return engine
}

// Kill ends the engine, with all that it holds.
func (engine *Engine) Kill() {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	engine.dead = true
	engine.tickets = make(map[string]*ticket)
}

func (engine *Engine) signal() {
	select {
	case engine.wake <- struct{}{}:
	default:
	}
}

// work plays passes until ctx is done.
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

// pass plans the next pass: what it takes, and what it brings about.
func (engine *Engine) pass() (time.Duration, func()) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	if engine.dead {
		return 0, nil
	}
	engine.forget()
	engine.admitWaiting()
	writers, cost := engine.writers()
	steps := 1
	if len(writers) > 0 {
		steps = engine.model.Stride
	}
	budget := steps * engine.model.Chunk
	progress := make(map[*part]int)
	for _, part := range engine.parts {
		count := min(budget, part.tokens-part.done)
		if count == 0 {
			continue
		}
		progress[part] = count
		budget -= count
		cost += engine.model.readTime(part.done, part.done+count, part.pairsShare)
	}
	if len(writers) == 0 && len(progress) == 0 {
		return 0, nil
	}
	if len(writers) == 0 {
		cost += engine.model.Step
	}
	return cost, func() { engine.finish(writers, progress) }
}

// writers returns the requests that write, and what their steps take.
func (engine *Engine) writers() ([]*generation, time.Duration) {
	var writers []*generation
	var contexts []int
	var hops time.Duration
	for _, generation := range engine.running {
		if generation.isRead() {
			writers = append(writers, generation)
			contexts = append(contexts, generation.memory())
			if generation.spread {
				hops += engine.model.Hop
			}
		}
	}
	if len(writers) == 0 {
		return nil, 0
	}
	return writers, time.Duration(engine.model.Stride) * (engine.model.stepTime(contexts) + hops)
}

func (generation *generation) isRead() bool {
	for _, part := range append([]*part{generation.own}, generation.others...) {
		select {
		case <-part.read:
		default:
			return false
		}
	}
	return true
}

// finish brings about what a pass did.
func (engine *Engine) finish(writers []*generation, progress map[*part]int) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	for part, count := range progress {
		part.done += count
		if part.done == part.tokens {
			close(part.read)
			part.first.signal()
		}
	}
	engine.parts = slices.DeleteFunc(engine.parts, func(part *part) bool { return part.done == part.tokens })
	for _, generation := range writers {
		engine.write(generation)
	}
	engine.signal()
}

// write adds the tokens of one pass to a generation.
func (engine *Engine) write(generation *generation) {
	if generation.gone || generation.written >= generation.total {
		return
	}
	generation.written = min(generation.total, generation.written+engine.model.Stride)
	event := (generation.written + engine.model.Stride - 1) / engine.model.Stride
	generation.events <- event // there is room for all events
	if generation.written >= generation.total {
		close(generation.events)
	}
}

// forget drops generations that ended or whose callers left.
func (engine *Engine) forget() {
	over := func(generation *generation) bool {
		return generation.gone || generation.written >= generation.total
	}
	for _, generation := range engine.running {
		if generation.gone {
			engine.parts = slices.DeleteFunc(engine.parts, func(part *part) bool { return part == generation.own })
		}
	}
	engine.running = slices.DeleteFunc(engine.running, over)
	engine.waiting = slices.DeleteFunc(engine.waiting, over)
}

// admitWaiting admits requests while there are slots and memory, the urgent ones
// first. Nothing new is admitted while a reservation waits.
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

// free is the memory that neither requests nor tickets hold.
func (engine *Engine) free() int {
	free := engine.model.Memory
	for _, generation := range engine.running {
		free -= generation.memory()
	}
	for _, ticket := range engine.tickets {
		free -= ticket.tokens
	}
	return free
}

// help reads a part of a prompt for another engine, ahead of other reading.
func (engine *Engine) help(first *Engine, tokens int, pairsShare float64) (*part, bool) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	helping := 0
	for _, part := range engine.parts {
		if part.helps {
			helping++
		}
	}
	if engine.dead || helping >= engine.model.Slots {
		return nil, false
	}
	added := &part{tokens: tokens, pairsShare: pairsShare, helps: true, read: make(chan struct{}), first: first}
	engine.parts = slices.Insert(engine.parts, helping, added)
	engine.signal()
	return added, true
}
