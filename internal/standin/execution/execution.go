// Package execution records what stand-ins for backend servers really ran, so
// that a check can compare it with what callers were told.
package execution

import "sync"

// Execution is one run of a request.
type Execution struct {
	Attempt      string `json:"attempt"`
	Request      string `json:"request"`
	Organisation string `json:"organisation"`
	Key          string `json:"key,omitempty"`
	Server       string `json:"server"`
}

// Log is a record of executions for use by many goroutines.
type Log struct {
	mu         sync.Mutex
	executions []Execution
}

// New returns an empty log.
func New() *Log {
	return &Log{}
}

// Add records one execution.
func (log *Log) Add(execution Execution) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.executions = append(log.executions, execution)
}

// All returns the executions so far, in order.
func (log *Log) All() []Execution {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.executions[:len(log.executions):len(log.executions)]
}
