package engine

import (
	"context"
	"fmt"
	"slices"
)

// OrderKind says what an order is about.
type OrderKind string

// Kinds of order.
const (
	OrderLoad   OrderKind = "load"
	OrderUnload OrderKind = "unload"
	OrderRole   OrderKind = "role"
)

// Order changes what an engine serves.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Token orders orders: engines that check it refuse one older than the
	// newest that they took.
	Token uint64 `json:"token"`
	// Model is the model, with its version or adapter, to load or unload.
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
}

// Take carries out an order. A model is served once its weights have been
// fetched, which may take long after Take has returned.
func (engine *Engine) Take(order Order) error {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	switch {
	case engine.closed:
		return &RefusalError{Reason: reasonDied}
	case engine.checksFencing && order.Token < engine.orderToken:
		return &RefusalError{Reason: fmt.Sprintf("token %d is older than %d", order.Token, engine.orderToken)}
	}
	engine.orderToken = max(engine.orderToken, order.Token)
	switch order.Kind {
	case OrderLoad:
		go engine.loadModel(order)
	case OrderUnload:
		engine.models = slices.DeleteFunc(engine.models, func(model string) bool { return model == order.Model })
	case OrderRole:
		engine.role = order.Role
	default:
		return &RefusalError{Reason: fmt.Sprintf("no order of kind %q", order.Kind)}
	}
	return nil
}

// loadModel fetches a model and serves it, unless a newer order came meanwhile.
func (engine *Engine) loadModel(order Order) {
	err := engine.fetch(context.Background(), order.Model)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	superseded := engine.checksFencing && order.Token < engine.orderToken
	if err != nil || superseded || engine.closed || slices.Contains(engine.models, order.Model) {
		return
	}
	engine.models = append(engine.models, order.Model)
}

// Pause stops a stream's steps, or lets them go on, and reports whether there
// is such a stream. Its memory stays held and its time goes on.
func (engine *Engine) Pause(attempt string, paused bool) bool {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	stream := engine.streams[attempt]
	if stream == nil {
		return false
	}
	stream.paused = paused
	engine.wake.Broadcast()
	return true
}
