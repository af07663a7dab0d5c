package platformserver

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// maxHelpers is the maximum number of helper engines in a request.
const maxHelpers = 16

// defaultUrgency is the urgency of a request without a priority header; lower values are more urgent.
const defaultUrgency = 5

var _ http.Handler = (*Engine)(nil)

// Event returns the bytes of an event of the response to a request, numbered from one.
func Event(id string, number int) string {
	return fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", number, id, number)
}

// EventCount returns the number of events in the response to a request with the
// given number of output tokens.
func (model Model) EventCount(tokens int) int {
	return (tokens + model.StepsPerPass - 1) / model.StepsPerPass
}

// ServeHTTP implements http.Handler.
func (engine *Engine) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	switch {
	case request.URL.Path == "/order":
		engine.serveCommand(writer, request)
		return
	case request.URL.Path == "/report" && request.Method == http.MethodGet:
		engine.serveReport(writer)
		return
	}
	body := readBody(writer, request)
	drawnFaults, ok := engine.checkRequest(writer, request)
	if !ok {
		return
	}
	generation := newGeneration(request)
	if !engine.enqueue(writer, request, generation) {
		return
	}
	defer engine.release(generation)
	if !engine.awaitAdmission(writer, request, generation) {
		return
	}
	defer engine.recordRun(request, body)()
	engine.stream(writer, request, generation, drawnFaults)
}

// newGeneration returns a generation with the token counts and the urgency in the
// request's headers.
func newGeneration(request *http.Request) *generation {
	promptCount, outputCount, _ := strings.Cut(request.Header.Get(headerTokens), ",")
	urgency := defaultUrgency
	if value := request.Header.Get(headerPriority); value != "" {
		urgency = parseCount(value)
	}
	created := &generation{
		promptTokens: parseCount(promptCount), outputTokens: max(1, parseCount(outputCount)), urgency: urgency, admitted: make(chan struct{}),
	}
	created.events = make(chan int, created.outputTokens)
	return created
}

// helperRef is an entry of the header with helper engines: the address of an engine,
// and the ticket of a reservation there or empty.
type helperRef struct {
	address, ticket string
}

// parseHelpers returns the entries of the header with helper engines.
func parseHelpers(header string) []helperRef {
	var helpers []helperRef
	for entry := range strings.SplitSeq(header, ",") {
		address, ticket, _ := strings.Cut(strings.TrimSpace(entry), "/")
		if address != "" {
			helpers = append(helpers, helperRef{address: address, ticket: ticket})
		}
	}
	return helpers
}

// enqueue divides the prompt among the engine and its helpers, and queues the
// request. It returns false if the request was refused and a response has been
// written.
func (engine *Engine) enqueue(writer http.ResponseWriter, request *http.Request, generation *generation) bool {
	helpers := parseHelpers(request.Header.Get(headerHelpers))
	if len(helpers) > maxHelpers {
		writeNotRun(writer, request, http.StatusBadRequest, "")
		return false
	}
	engineCount := 1
	for _, helper := range helpers {
		if helper.address != engine.identity.Address {
			engineCount++
		}
	}
	share := 1 / float64(engineCount)
	tokens := max(1, generation.promptTokens/engineCount)
	// A part of n tokens of a prompt of p tokens has n*n/2 pairs of its own, but
	// computes p*p/2 pairs divided by the number of engines.
	pairsScale := share * float64(generation.promptTokens) * float64(generation.promptTokens) / (float64(tokens) * float64(tokens))
	for _, helper := range helpers {
		if atFault := engine.addHelper(helper, generation, tokens, pairsScale); atFault != "" {
			writeNotRun(writer, request, http.StatusServiceUnavailable, atFault)
			engine.release(generation)
			return false
		}
	}
	generation.ownPrefill = &prefill{tokens: tokens, pairsShare: pairsScale, finished: make(chan struct{}), requester: engine}
	engine.passMu.Lock()
	refused := generation.memoryTokens() > engine.model.MemoryTokens || engine.killed || len(engine.queued) >= 2*engine.model.Slots
	if !refused {
		engine.queued = append(engine.queued, generation)
	}
	engine.passMu.Unlock()
	if refused {
		writeNotRun(writer, request, http.StatusServiceUnavailable, "")
		engine.release(generation)
		return false
	}
	engine.signal()
	return true
}

// addHelper starts a helper's part of the prefill and binds the reservation for
// its share of the memory. It returns the address of the server at fault if the
// helper is unavailable, or an empty string.
func (engine *Engine) addHelper(helper helperRef, generation *generation, tokens int, pairsShare float64) string {
	helperEngine := engine.fleet.engineAt(helper.address)
	if helperEngine == nil {
		return helper.address
	}
	if helper.ticket != "" {
		boundTokens, ok := helperEngine.bindReservation(helper.ticket, generation, generation.promptTokens-generation.reservedTokens)
		if !ok {
			return helper.address
		}
		generation.reservedTokens += boundTokens
		if helperEngine != engine {
			generation.remoteTokens += boundTokens
		}
	}
	if helperEngine == engine {
		return ""
	}
	prefill, ok := helperEngine.startHelperPrefill(engine, tokens, pairsShare)
	if !ok {
		return helper.address
	}
	generation.helperPrefills = append(generation.helperPrefills, prefill)
	generation.helpers = append(generation.helpers, helperEngine)
	return ""
}

// release marks a request as ended and its reservations at all engines as unused, and ends its helpers' prefills.
func (engine *Engine) release(generation *generation) {
	engine.passMu.Lock()
	generation.ended = true
	engine.passMu.Unlock()
	for _, helper := range generation.helpers {
		helper.stopPrefills(generation.helperPrefills)
	}
	engine.fleet.mu.Lock()
	engines := make([]*Engine, 0, len(engine.fleet.engines))
	for _, other := range engine.fleet.engines {
		engines = append(engines, other)
	}
	engine.fleet.mu.Unlock()
	for _, other := range engines {
		other.unbindReservations(generation)
	}
	engine.signal()
}

// awaitAdmission waits until the request is admitted. It returns false, after
// writing a response, if the request's deadline expires first.
func (engine *Engine) awaitAdmission(writer http.ResponseWriter, request *http.Request, generation *generation) bool {
	timeout := time.Duration(max(1, parseCount(request.Header.Get(headerDeadline)))) * time.Millisecond
	select {
	case <-generation.admitted:
		return true
	case <-time.After(timeout):
		writeNotRun(writer, request, http.StatusServiceUnavailable, "")
		return false
	case <-request.Context().Done():
		panic(http.ErrAbortHandler)
	}
}

// stream sends the events after the last one that the client received, subject to
// the request's faults.
func (engine *Engine) stream(writer http.ResponseWriter, request *http.Request, generation *generation, drawnFaults requestFaults) {
	id := request.Header.Get(headerID)
	lastEvent := parseCount(request.Header.Get(headerLastEvent))
	engine.setResponseHeaders(writer, request)
	if drawnFaults.unframed {
		defer resetIfAborted(request)
		setUnframed(writer)
	}
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
	halfway := engine.model.EventCount(generation.outputTokens) / 2
	for {
		event, ok := engine.nextEvent(request, generation)
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
func (engine *Engine) nextEvent(request *http.Request, generation *generation) (int, bool) {
	for {
		stall := time.NewTimer(engine.model.StallTimeout)
		select {
		case event, ok := <-generation.events:
			stall.Stop()
			return event, ok
		case <-stall.C:
			if !engine.enginesRunning(generation) {
				panic(http.ErrAbortHandler)
			}
		case <-request.Context().Done():
			stall.Stop()
			panic(http.ErrAbortHandler)
		}
	}
}

// enginesRunning reports whether all engines that process a request are running and
// the request has not been ended.
func (engine *Engine) enginesRunning(generation *generation) bool {
	for _, other := range append([]*Engine{engine}, generation.helpers...) {
		other.passMu.Lock()
		killed := other.killed
		other.passMu.Unlock()
		if killed {
			return false
		}
	}
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	return !generation.ended
}
