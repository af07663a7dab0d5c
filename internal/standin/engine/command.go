package engine

import (
	"context"
	"fmt"
	"slices"
)

// CommandKind is the kind of a command.
type CommandKind string

// Kinds of commands: load or unload a model, or set the engine's role.
const (
	CommandLoad   CommandKind = "load"
	CommandUnload CommandKind = "unload"
	CommandRole   CommandKind = "role"
)

// Command changes what an engine serves.
type Command struct {
	Kind CommandKind `json:"kind"`
	// Token is a fencing token. Engines that check it refuse a command whose
	// token is lower than that of an earlier command.
	Token uint64 `json:"token"`
	// Model is the model to load or unload, with its version or adapter.
	Model string `json:"model,omitempty"`
	// Role is the role to set.
	Role string `json:"role,omitempty"`
}

// Apply executes a command, or returns a *RefusalError. A model to load is served
// once its weights have been fetched, after Apply has returned.
func (engine *Engine) Apply(command Command) error {
	engine.mu.Lock()
	defer engine.mu.Unlock()
	switch {
	case engine.closed:
		return &RefusalError{Reason: reasonCrashed}
	case engine.checksFencing && command.Token < engine.commandToken:
		return &RefusalError{Reason: fmt.Sprintf("token %d is older than %d", command.Token, engine.commandToken)}
	}
	engine.commandToken = max(engine.commandToken, command.Token)
	switch command.Kind {
	case CommandLoad:
		go engine.loadModel(command)
	case CommandUnload:
		engine.models = slices.DeleteFunc(engine.models, func(model string) bool { return model == command.Model })
	case CommandRole:
		engine.role = command.Role
	default:
		return &RefusalError{Reason: fmt.Sprintf("no order of kind %q", command.Kind)}
	}
	return nil
}

// loadModel fetches a model's weights and then serves the model, unless a newer
// command has been applied meanwhile.
func (engine *Engine) loadModel(command Command) {
	err := engine.fetch(context.Background(), command.Model)
	engine.mu.Lock()
	defer engine.mu.Unlock()
	superseded := engine.checksFencing && command.Token < engine.commandToken
	if err != nil || superseded || engine.closed || slices.Contains(engine.models, command.Model) {
		return
	}
	engine.models = append(engine.models, command.Model)
}

// Pause pauses or resumes the computation of a stream. A paused stream keeps its
// memory and its deadline. It returns false if the stream doesn't exist.
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
