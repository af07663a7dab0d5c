package platformserver

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// maxNames is the most helpers that a request may name.
const maxNames = 16

// defaultUrgency is that of a request without one.
const defaultUrgency = 5

var _ http.Handler = (*Engine)(nil)

// Event is the bytes of one event of the answer to a request.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, id, number)
}

// Events is how many events the answer to a request with so many tokens has.
func (model Model) Events(tokens int) int {
	return (tokens + model.Stride - 1) / model.Stride
}

// ServeHTTP implements http.Handler.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	if request.URL.Path == "/order" {
		engine.serveOrder(writer, request)
		return
	}
	body := readBody(writer, request)
	drawn, ok := engine.admit(writer, request)
	if !ok {
		return
	}
	generation := newGeneration(request)
	if !engine.enter(writer, request, generation) {
		return
	}
	defer engine.leave(generation)
	if !engine.wait(writer, request, generation) {
		return
	}
	engine.begin(request, body)
	engine.stream(writer, request, generation, drawn)
}

func newGeneration(request *http.Request) *generation {
	in, out, _ := strings.Cut(request.Header.Get(headerTokens), ",")
	urgency := defaultUrgency
	if value := request.Header.Get(headerPriority); value != "" {
		urgency = count(value)
	}
	created := &generation{
		prompt: count(in), total: max(1, count(out)), urgency: urgency, admitted: make(chan struct{}),
	}
	created.events = make(chan int, created.total)
	return created
}

// name is an entry of the header with helpers.
type name struct {
	address, ticket string
}

func names(header string) []name {
	var found []name
	for entry := range strings.SplitSeq(header, ",") {
		address, ticket, _ := strings.Cut(strings.TrimSpace(entry), "/")
		if address != "" {
			found = append(found, name{address: address, ticket: ticket})
		}
	}
	return found
}

// enter divides the prompt among the engine and its helpers, and queues the
// request. It reports false when the request was answered.
func (engine *Engine) enter(writer http.ResponseWriter, request *http.Request, generation *generation) bool {
	helpers := names(request.Header.Get(headerHelpers))
	if len(helpers) > maxNames {
		notRun(writer, request, http.StatusBadRequest, "")
		return false
	}
	parts := 1
	for _, helper := range helpers {
		if helper.address != engine.identity.Address {
			parts++
		}
	}
	share := 1 / float64(parts)
	tokens := max(1, generation.prompt/parts)
	// A part of n tokens of a prompt of p has (n*n)/2 pairs by itself, and gets
	// p*p/2 divided by the parts.
	pairs := share * float64(generation.prompt) * float64(generation.prompt) / (float64(tokens) * float64(tokens))
	for _, helper := range helpers {
		if fault := engine.enlist(helper, generation, tokens, pairs); fault != "" {
			notRun(writer, request, http.StatusServiceUnavailable, fault)
			engine.leave(generation)
			return false
		}
	}
	generation.own = &part{tokens: tokens, pairsShare: pairs, read: make(chan struct{}), first: engine}
	engine.passMu.Lock()
	full := generation.memory() > engine.model.Memory || engine.dead || len(engine.waiting) >= 2*engine.model.Slots
	if !full {
		engine.waiting = append(engine.waiting, generation)
	}
	engine.passMu.Unlock()
	if full {
		notRun(writer, request, http.StatusServiceUnavailable, "")
		engine.leave(generation)
		return false
	}
	engine.signal()
	return true
}

// enlist makes one helper read its part and hold its share, and returns the server
// at fault, if any.
func (engine *Engine) enlist(helper name, generation *generation, tokens int, pairs float64) string {
	found := engine.fleet.at(helper.address)
	if found == nil {
		return helper.address
	}
	if helper.ticket != "" {
		held, ok := found.use(helper.ticket, generation, generation.prompt-generation.reserved)
		if !ok {
			return helper.address
		}
		generation.reserved += held
		generation.spread = true
	}
	if found == engine {
		return ""
	}
	part, ok := found.help(engine, tokens, pairs)
	if !ok {
		return helper.address
	}
	generation.others = append(generation.others, part)
	generation.helpers = append(generation.helpers, found)
	return ""
}

// leave notes that a request is over.
func (engine *Engine) leave(generation *generation) {
	engine.passMu.Lock()
	generation.gone = true
	engine.passMu.Unlock()
	engine.fleet.mu.Lock()
	engines := make([]*Engine, 0, len(engine.fleet.engines))
	for _, other := range engine.fleet.engines {
		engines = append(engines, other)
	}
	engine.fleet.mu.Unlock()
	for _, other := range engines {
		other.unuse(generation)
	}
	engine.signal()
}

// wait waits until the request is admitted. It reports false when its time was
// over before.
func (engine *Engine) wait(writer http.ResponseWriter, request *http.Request, generation *generation) bool {
	limit := time.Duration(max(1, count(request.Header.Get(headerDeadline)))) * time.Millisecond
	select {
	case <-generation.admitted:
		return true
	case <-time.After(limit):
		notRun(writer, request, http.StatusServiceUnavailable, "")
		return false
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// stream sends the events that the caller does not have.
func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, generation *generation, drawn misfortune) {
	id := request.Header.Get(headerID)
	had := count(request.Header.Get(headerLastEvent))
	engine.mark(writer, request)
	if drawn.errors {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if drawn.lost {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	_ = controller.Flush() // a caller that is gone ends the context
	half := engine.model.Events(generation.total) / 2
	for {
		event, ok := engine.next(request, generation)
		if !ok {
			return
		}
		if event <= had {
			continue
		}
		data := Event(id, event)
		if drawn.cut && event > half {
			_, _ = writer.Write([]byte(data[:len(data)/2])) // as above
			_ = controller.Flush()                          // as above
			panic(http.ErrAbortHandler)
		}
		_, _ = writer.Write([]byte(data)) // as above
		_ = controller.Flush()            // as above
	}
}

// next returns the next event. It reports false when there is none. A request whose
// engine or helper is dead stands still for a while, and is cut.
func (engine *Engine) next(request *http.Request, generation *generation) (int, bool) {
	for {
		stall := time.NewTimer(engine.model.Stall)
		select {
		case event, ok := <-generation.events:
			stall.Stop()
			return event, ok
		case <-stall.C:
			if !engine.relies(generation) {
				panic(http.ErrAbortHandler)
			}
		case <-request.Context().Done():
			stall.Stop()
			panic(http.ErrAbortHandler)
		}
	}
}

// relies reports whether all engines that a request relies on are alive, and hold
// its memory.
func (engine *Engine) relies(generation *generation) bool {
	for _, other := range append([]*Engine{engine}, generation.helpers...) {
		other.passMu.Lock()
		dead := other.dead
		other.passMu.Unlock()
		if dead {
			return false
		}
	}
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	return !generation.gone
}
