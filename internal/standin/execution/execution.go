// Package execution records the requests that simulated backend servers
// executed, so that tests can compare them with the outcomes reported to callers.
package execution

import "sync"

// Execution is one execution of a request by a backend server.
type Execution struct {
	Attempt      string `json:"attempt"`
	Request      string `json:"request"`
	Organisation string `json:"organisation"`
	Key          string `json:"key,omitempty"`
	Server       string `json:"server"`
}

// Log is a list of executions. It is safe for concurrent use.
type Log struct {
	mu         sync.Mutex
	executions []Execution
}

// New returns an empty log.
func New() *Log {
	return &Log{}
}

// Add appends an execution.
func (log *Log) Add(execution Execution) {
	log.mu.Lock()
	defer log.mu.Unlock()
	log.executions = append(log.executions, execution)
}

// All returns the executions so far, in the order in which they were added. The
// caller must not change the elements.
func (log *Log) All() []Execution {
	log.mu.Lock()
	defer log.mu.Unlock()
	return log.executions[:len(log.executions):len(log.executions)]
}
