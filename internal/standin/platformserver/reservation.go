package platformserver

import (
	"encoding/json"
	"net/http"
	"time"
)

// reservation is KV memory reserved by a command. Its ID is called a ticket.
type ticket struct {
	tokens int
	until  time.Time
	// request is the request that uses the reservation, or nil.
	user *generation
	// idleSince is the time since which no request uses the reservation. It is
	// valid while request is nil.
	idleSince time.Time
}

// expireReservations removes expired reservations and ends the requests that use
// them. The caller must hold passMu.
func (engine *Engine) lapse() {
	now := time.Now()
	for id, reservation := range engine.tickets {
		if now.After(reservation.until) {
			if reservation.user != nil {
				reservation.user.gone = true
			}
			delete(engine.tickets, id)
		}
	}
}

// Reservations returns the number of reservations, and the longest time for which
// a current reservation has been unused.
func (engine *Engine) Tickets() (int, time.Duration) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	engine.lapse()
	var idle time.Duration
	for _, reservation := range engine.tickets {
		if reservation.user == nil {
			idle = max(idle, time.Since(reservation.idleSince))
		}
	}
	return len(engine.tickets), idle
}

// serveCommand executes a reserve or release command. The response contains the
// free memory in tokens.
func (engine *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
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
	if _, ok := engine.admit(writer, request); !ok {
		return
	}
	status := engine.carryOut(command.Op, command.ID, command.Tokens, time.Duration(command.HoldMS)*time.Millisecond)
	engine.passMu.Lock()
	freeTokens := engine.free()
	engine.passMu.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(map[string]int{"free": freeTokens}) // fails only if the client has disconnected
}

// applyCommand executes a command and returns the HTTP status of the response. A
// reserve command for an existing ID renews the reservation.
func (engine *Engine) carryOut(op, id string, tokens int, hold time.Duration) int {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	defer engine.signal()
	existing := engine.tickets[id]
	switch {
	case op == "release":
		delete(engine.tickets, id)
		return http.StatusOK
	case op != "reserve", tokens > engine.model.Memory:
		return http.StatusBadRequest
	case existing != nil:
		existing.until = time.Now().Add(hold)
		return http.StatusOK
	case tokens > engine.free():
		return http.StatusConflict
	}
	engine.tickets[id] = &ticket{tokens: tokens, until: time.Now().Add(hold), idleSince: time.Now()}
	return http.StatusOK
}

// bindReservation lets a request use a reservation for as much of its prompt as
// fits, and returns that number of tokens. It returns false if the reservation
// doesn't exist or is used by another request.
func (engine *Engine) use(id string, generation *generation, tokens int) (int, bool) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	reservation := engine.tickets[id]
	if reservation == nil {
		return 0, false
	}
	if reservation.user != nil {
		engine.record.Violate("ticket " + id + " is used by two requests at once")
		return 0, false
	}
	reservation.user = generation
	return min(tokens, reservation.tokens), true
}

// unbindReservations marks the reservations used by a request as unused.
func (engine *Engine) unuse(generation *generation) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	for _, reservation := range engine.tickets {
		if reservation.user == generation {
			reservation.user = nil
			reservation.idleSince = time.Now()
		}
	}
}
