package platformserver

import (
	"encoding/json"
	"net/http"
	"time"
)

// reservation is KV memory reserved by a command. Its ID is called a ticket.
type reservation struct {
	tokens    int
	expiresAt time.Time
	// request is the request that uses the reservation, or nil.
	request *generation
	// idleSince is the time since which no request uses the reservation. It is
	// valid while request is nil.
	idleSince time.Time
}

// expireReservations removes expired reservations and ends the requests that use
// them. The caller must hold passMu.
func (engine *Engine) expireReservations() {
	now := time.Now()
	for id, reservation := range engine.reservations {
		if now.After(reservation.expiresAt) {
			if reservation.request != nil {
				reservation.request.ended = true
			}
			delete(engine.reservations, id)
		}
	}
}

// Reservations returns the number of reservations, and the longest time for which
// a current reservation has been unused.
func (engine *Engine) Reservations() (int, time.Duration) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	engine.expireReservations()
	var idle time.Duration
	for _, reservation := range engine.reservations {
		if reservation.request == nil {
			idle = max(idle, time.Since(reservation.idleSince))
		}
	}
	return len(engine.reservations), idle
}

// serveCommand executes a reserve or release command. The response contains the
// free memory in tokens.
func (engine *Engine) serveCommand(writer http.ResponseWriter, request *http.Request) {
	var command struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
		HoldMS int64  `json:"hold_ms"`
	}
	if err := json.Unmarshal([]byte(readBody(writer, request)), &command); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, ok := engine.checkRequest(writer, request); !ok {
		return
	}
	status := engine.applyCommand(command.Op, command.ID, command.Tokens, time.Duration(command.HoldMS)*time.Millisecond)
	engine.passMu.Lock()
	freeTokens := engine.freeTokens()
	engine.passMu.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(map[string]int{"free": freeTokens}) // fails only if the client has disconnected
}

// applyCommand executes a command and returns the HTTP status of the response. A
// reserve command for an existing ID renews the reservation.
func (engine *Engine) applyCommand(op, id string, tokens int, hold time.Duration) int {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	defer engine.signal()
	existing := engine.reservations[id]
	switch {
	case op == "release":
		delete(engine.reservations, id)
		return http.StatusOK
	case op != "reserve", tokens > engine.model.MemoryTokens:
		return http.StatusBadRequest
	case existing != nil:
		existing.expiresAt = time.Now().Add(hold)
		return http.StatusOK
	case tokens > engine.freeTokens():
		return http.StatusConflict
	}
	engine.reservations[id] = &reservation{tokens: tokens, expiresAt: time.Now().Add(hold), idleSince: time.Now()}
	return http.StatusOK
}

// bindReservation lets a request use a reservation for as much of its prompt as
// fits, and returns that number of tokens. It returns false if the reservation
// doesn't exist or is used by another request.
func (engine *Engine) bindReservation(id string, generation *generation, tokens int) (int, bool) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	reservation := engine.reservations[id]
	if reservation == nil {
		return 0, false
	}
	if reservation.request != nil {
		engine.record.AddViolation("ticket " + id + " is used by two requests at once")
		return 0, false
	}
	reservation.request = generation
	return min(tokens, reservation.tokens), true
}

// unbindReservations marks the reservations used by a request as unused.
func (engine *Engine) unbindReservations(generation *generation) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	for _, reservation := range engine.reservations {
		if reservation.request == generation {
			reservation.request = nil
			reservation.idleSince = time.Now()
		}
	}
}
