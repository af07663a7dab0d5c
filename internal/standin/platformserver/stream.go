package platformserver

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// maxHelpers is the maximum number of helper engines in a request.
const maxNames = 16

// defaultUrgency is the urgency of a request without a priority header; lower values are more urgent.
const defaultUrgency = 5

var _ http.Handler = (*Engine)(nil)

// Event returns the bytes of an event of the response to a request, numbered from one.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, id, number)
}

// EventCount returns the number of events in the response to a request with the
// given number of output tokens.
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
	drawnFaults, ok := engine.admit(writer, request)
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
	engine.stream(writer, request, generation, drawnFaults)
}

// newGeneration returns a generation with the token counts and the urgency in the
// request's headers.
func newGeneration(request *http.Request) *generation {
	promptCount, outputCount, _ := strings.Cut(request.Header.Get(headerTokens), ",")
	urgency := defaultUrgency
	if value := request.Header.Get(headerPriority); value != "" {
		urgency = count(value)
	}
	created := &generation{
		prompt: count(promptCount), total: max(1, count(outputCount)), urgency: urgency, admitted: make(chan struct{}),
	}
	created.events = make(chan int, created.total)
	return created
}

// helperRef is an entry of the header with helper engines: the address of an engine,
// and the ticket of a reservation there or empty.
type name struct {
	address, ticket string
}

// parseHelpers returns the entries of the header with helper engines.
func names(header string) []name {
	var helpers []name
	for entry := range strings.SplitSeq(header, ",") {
		address, ticket, _ := strings.Cut(strings.TrimSpace(entry), "/")
		if address != "" {
			helpers = append(helpers, name{address: address, ticket: ticket})
		}
	}
	return helpers
}

// enqueue divides the prompt among the engine and its helpers, and queues the
// request. It returns false if the request was refused and a response has been
// written.
func (engine *Engine) enter(writer http.ResponseWriter, request *http.Request, generation *generation) bool {
	helpers := names(request.Header.Get(headerHelpers))
	if len(helpers) > maxNames {
		notRun(writer, request, http.StatusBadRequest, "")
		return false
	}
	engineCount := 1
	for _, helper := range helpers {
		if helper.address != engine.identity.Address {
			engineCount++
		}
	}
	share := 1 / float64(engineCount)
	tokens := max(1, generation.prompt/engineCount)
	// A part of n tokens of a prompt of p tokens has n*n/2 pairs of its own, but
	// computes p*p/2 pairs divided by the number of engines.
	pairsScale := share * float64(generation.prompt) * float64(generation.prompt) / (float64(tokens) * float64(tokens))
	for _, helper := range helpers {
		if atFault := engine.enlist(helper, generation, tokens, pairsScale); atFault != "" {
			notRun(writer, request, http.StatusServiceUnavailable, atFault)
			engine.leave(generation)
			return false
		}
	}
	generation.own = &part{tokens: tokens, pairsShare: pairsScale, read: make(chan struct{}), first: engine}
	engine.passMu.Lock()
	refused := generation.memory() > engine.model.Memory || engine.dead || len(engine.waiting) >= 2*engine.model.Slots
	if !refused {
		engine.waiting = append(engine.waiting, generation)
	}
	engine.passMu.Unlock()
	if refused {
		notRun(writer, request, http.StatusServiceUnavailable, "")
		engine.leave(generation)
		return false
	}
	engine.signal()
	return true
}

// addHelper starts a helper's part of the prefill and binds the reservation for
// its share of the memory. It returns the address of the server at fault if the
// helper is unavailable, or an empty string.
func (engine *Engine) enlist(helper name, generation *generation, tokens int, pairsShare float64) string {
	helperEngine := engine.fleet.at(helper.address)
	if helperEngine == nil {
		return helper.address
	}
	if helper.ticket != "" {
		boundTokens, ok := helperEngine.use(helper.ticket, generation, generation.prompt-generation.reserved)
		if !ok {
			return helper.address
		}
		generation.reserved += boundTokens
		generation.spread = true
	}
	if helperEngine == engine {
		return ""
	}
	prefill, ok := helperEngine.help(engine, tokens, pairsShare)
	if !ok {
		return helper.address
	}
	generation.others = append(generation.others, prefill)
	generation.helpers = append(generation.helpers, helperEngine)
	return ""
}

// release marks a request as ended and its reservations at all engines as unused.
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

// awaitAdmission waits until the request is admitted. It returns false, after
// writing a response, if the request's deadline expires first.
func (engine *Engine) wait(writer http.ResponseWriter, request *http.Request, generation *generation) bool {
	timeout := time.Duration(max(1, count(request.Header.Get(headerDeadline)))) * time.Millisecond
	select {
	case <-generation.admitted:
		return true
	case <-time.After(timeout):
		notRun(writer, request, http.StatusServiceUnavailable, "")
		return false
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// stream sends the events after the last one that the client received, subject to
// the request's faults.
func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, generation *generation, drawnFaults misfortune) {
	id := request.Header.Get(headerID)
	lastEvent := count(request.Header.Get(headerLastEvent))
	engine.mark(writer, request)
	if drawnFaults.errors {
		writer.WriteHeader(http.StatusInternalServerError)
		return
	}
	if drawnFaults.lost {
		panic(http.ErrAbortHandler)
	}
	writer.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(writer)
	_ = controller.Flush() // fails only if the client has disconnected, which ends the context
	halfway := engine.model.Events(generation.total) / 2
	for {
		event, ok := engine.next(request, generation)
		if !ok {
			return
		}
		if event <= lastEvent {
			continue
		}
		data := Event(id, event)
		if drawnFaults.cut && event > halfway {
			_, _ = writer.Write([]byte(data[:len(data)/2])) // fails only if the client has disconnected
			_ = controller.Flush()                          // fails only if the client has disconnected
			panic(http.ErrAbortHandler)
		}
		_, _ = writer.Write([]byte(data)) // fails only if the client has disconnected
		_ = controller.Flush()            // fails only if the client has disconnected
	}
}

// nextEvent returns the number of the next event, or false after the last. If the
// engine or a helper has been killed, it aborts the handler after StallTimeout
// without progress.
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

// enginesAlive reports whether all engines that process a request are running and
// the request has not been ended.
func (engine *Engine) relies(generation *generation) bool {
	for _, other := range append([]*Engine{engine}, generation.helpers...) {
		other.passMu.Lock()
		killed := other.dead
		other.passMu.Unlock()
		if killed {
			return false
		}
	}
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	return !generation.gone
}
