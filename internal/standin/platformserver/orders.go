package platformserver

import (
	"encoding/json"
	"net/http"
	"time"
)

// ticket is memory that is set aside.
type ticket struct {
	tokens int
	until  time.Time
	// user is the request that uses it, or nil.
	user *generation
	// idleSince is since when no request uses it.
	idleSince time.Time
}

// lapse ends tickets whose time is over. The end of the ticket of a request that
// uses it cuts the request.
func (engine *Engine) lapse() {
	now := time.Now()
	for id, ticket := range engine.tickets {
		if now.After(ticket.until) {
			if ticket.user != nil {
				ticket.user.gone = true
			}
			delete(engine.tickets, id)
		}
	}
}

// Tickets returns how many tickets there are, and for how long the one that was
// unused for longest was so.
func (engine *Engine) Tickets() (int, time.Duration) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	engine.lapse()
	var idle time.Duration
	for _, ticket := range engine.tickets {
		if ticket.user == nil {
			idle = max(idle, time.Since(ticket.idleSince))
		}
	}
	return len(engine.tickets), idle
}

// serveOrder takes an order.
func (engine *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order struct {
		Op     string `json:"op"`
		ID     string `json:"id"`
		Tokens int    `json:"tokens"`
		HoldMS int64  `json:"hold_ms"`
	}
	if err := json.Unmarshal([]byte(readBody(writer, request)), &order); err != nil {
		writer.WriteHeader(http.StatusBadRequest)
		return
	}
	if _, ok := engine.admit(writer, request); !ok {
		return
	}
	status := engine.carryOut(order.Op, order.ID, order.Tokens, time.Duration(order.HoldMS)*time.Millisecond)
	engine.passMu.Lock()
	free := engine.free()
	engine.passMu.Unlock()
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(map[string]int{"free": free}) // a caller that is gone needs no reply
}

func (engine *Engine) carryOut(op, id string, tokens int, hold time.Duration) int {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	defer engine.signal()
	known := engine.tickets[id]
	switch {
	case op == "release":
		delete(engine.tickets, id)
		return http.StatusOK
	case op != "reserve", tokens > engine.model.Memory:
		return http.StatusBadRequest
	case known != nil:
		known.until = time.Now().Add(hold)
		return http.StatusOK
	case tokens > engine.free():
		return http.StatusConflict
	}
	engine.tickets[id] = &ticket{tokens: tokens, until: time.Now().Add(hold), idleSince: time.Now()}
	return http.StatusOK
}

// use puts the memory of a prompt into a ticket, as much as fits. It reports false
// when there is no such ticket, or another request uses it.
func (engine *Engine) use(id string, generation *generation, tokens int) (int, bool) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	found := engine.tickets[id]
	if found == nil {
		return 0, false
	}
	if found.user != nil {
		engine.record.Violate("ticket " + id + " is used by two requests at once")
		return 0, false
	}
	found.user = generation
	return min(tokens, found.tokens), true
}

// unuse notes that a request uses its ticket no more.
func (engine *Engine) unuse(generation *generation) {
	engine.passMu.Lock()
	defer engine.passMu.Unlock()
	for _, ticket := range engine.tickets {
		if ticket.user == generation {
			ticket.user = nil
			ticket.idleSince = time.Now()
		}
	}
}
